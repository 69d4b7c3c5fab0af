// Package link is a TCP relay between two addresses that stands in for the network between failure
// domains. Each path listens on one address and relays to another. A connection belongs to the group
// SOURCE.TARGET: the group of its source address and the group of its path. Faults strike whole groups.
//
// Ledger entries: none. GET /counts counts connections (open) and refused ones (refused).
//
// Faults, each with groups as value, separated by commas ("a.*" is all groups that begin with "a."), or
// without a value for all groups: cut (closes the connections
// and refuses new ones), hang (like a network that drops everything: open and new connections pass nothing
// while it lasts), silent (open connections pass nothing more for good, new ones work), delay ("GROUP=MS",
// one-way delay).
package link
