// Package link is a TCP relay that stands in for the network between failure domains. Each path listens on one address and relays
// to another. A connection belongs to the group SOURCE.TARGET: the group of its source address and the group of its path. Faults
// apply to whole groups.
//
// Ledger entries: none. GET /counts counts connections (open) and refused ones (refused).
//
// Faults, each with groups as value, separated by commas ("a.*" is all groups that begin with "a."), or without a value for all
// groups: cut (closes the connections and refuses new ones), hang (a network that drops all packets: open and new connections
// pass nothing while it lasts), silent (open connections pass nothing until they close, new ones work), delay ("GROUP=MS" for one
// group or "=MS" for all, one-way delay).
package link
