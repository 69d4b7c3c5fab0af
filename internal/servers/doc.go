// Package servers holds the backend servers and entry VMs that the platform lists, and decides which
// backend servers are leaving. It implements the Servers port of internal/entry.
//
// The sources are the platform's list, the engines' own load reports, refusals that an engine gave to this
// VM, and what peers report from the same sources. The most cautious source wins: a server that one source
// calls leaving gets no new work until every source calls it live.
package servers
