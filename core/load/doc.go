// Package load sums the requests that the VMs of a fleet have in flight at each backend server, and estimates how much
// slower than usual each server generates.
//
// A VM of a large fleet sends a small part of a server's requests, so its own counts are a poor estimate of the load of the
// server. Each VM therefore reports its counts to one VM of its failure domain, which returns the sums over all other VMs.
// A sum lags by the time that a report travels. Placement compares only a few servers drawn at random, so that the VMs that
// read the same sums do not all choose the same server.
//
// The package is made for bursts in which long prompts queue at a few servers while others are idle. The types of this package
// are not safe for concurrent use.
package load
