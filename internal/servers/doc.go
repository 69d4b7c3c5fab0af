// Package servers holds the backend servers and entry VMs that the platform lists, and determines which backend servers are
// leaving. It implements the Servers interface of internal/entry.
//
// The sources are the platform's list, the load reports of engines, refusals by backend servers that this VM received, and the
// marks that peers send from these sources. If any source reports a server as leaving, the server gets no new work until none
// does. Marks of peers expire, and so do refusals by servers that send no load reports, so that a lost source does not keep a
// server out of use for good. During an outage of the platform the last list stays in use.
package servers
