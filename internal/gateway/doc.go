// Package gateway is the request path of the gateway daemon: it takes a typed request of a caller and returns a typed answer.
// It handles failed and silent backend servers by retrying, by resuming streams at another server and by refusing in time. It
// has no wire protocol of its own: callers and backend servers are reached through the interfaces of this package, and an
// adapter translates its wire format to the types here.
//
// These rules hold for every request. It runs only on a route and at a version that the current configuration allows, and only
// with a key that is proved to be still valid. A request that must not be repeated is sent again only if the failed attempt
// certainly did not run. A refusal with [work.NotRun] is given only if no attempt may have run. A stream is resumed at another
// server within the same answer, with each event once and in order, or it is aborted so that it does not look complete. Every
// request has its final answer by its deadline, which is the earlier of the caller's deadline and the route's timeout. A request
// whose prompt has a part under which servers end is refused at once, see package quarantine.
package gateway
