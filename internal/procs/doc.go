// Package procs runs entry daemons and stand-ins as processes on loopback addresses for the runners, and collects what the stand-ins
// recorded.
//
// Failure domain D (counted from 1) has the addresses NET.D.x: entry VMs from NET.D.1, engines from NET.D.101, plain services from
// NET.D.201. The platform and the rating service are at NET.0.10 and NET.0.11. With UseRelay, every connection that an entry VM opens
// to a peer, a backend server or the platform leads through one relay at NET.0.12, which recognizes the failure domains of both ends
// by their addresses.
package procs
