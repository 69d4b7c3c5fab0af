// Package member keeps one VM's view of the entry VMs of the fleet. The view decides with which VMs to exchange messages;
// no safety property depends on it.
//
// A [Fleet] takes the VM list, the seeds of the settings, heartbeats and the views of other VMs, each with the time, and
// returns the connections to keep and the messages to send. A VM sends heartbeats to all VMs of its own failure domain and to
// a few contact VMs in each other domain, so its cost grows with its domain and with the number of domains, not with the
// fleet.
//
// What a VM declares about itself (incarnation and state) is merged by maximum, so that the order of messages does not
// matter and no view reverts another. Suspicion is local: it is derived from missing heartbeats, is never sent, and ends with
// the next heartbeat.
package member
