// Package entry is the entry daemon's request path: it wires the core decisions to the protocol packages.
//
// The interfaces in ports.go are what the request path needs from the rest of the daemon.
package entry
