// Package link is a TCP relay between two addresses that stands in for the network between failure
// domains. Each path listens on one address, relays to another and belongs to a group; faults strike whole
// groups.
//
// Ledger entries: none. GET /counts counts connections (open) and refused ones (refused).
//
// Faults, each with the group as value, or without a value for all groups: cut (closes the connections
// and refuses new ones), hang (like a network that drops everything: open and new connections pass nothing
// while it lasts), silent (open connections pass nothing more for good, new ones work), delay ("GROUP=MS",
// one-way delay).
package link
