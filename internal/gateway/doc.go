// Package gateway is the request path from a typed request to a typed answer. It knows no dialect: callers and backend
// servers are reached through ports, and a dialect turns its wire form into the types of this package.
//
// What holds for every request: it runs only on a route and a version that the configuration in force allows, and only
// with a key that is proved to be still held. A request that may not be repeated is sent again only if the failed attempt
// certainly did not run. A refusal with [work.NotRun] is made only if no attempt may have run. A stream goes on at another
// server within the same answer, each event once and in order, or it is broken off so that it does not look complete.
// Every request has a final answer by its end, which is the sooner of the caller's deadline and the route's timeout.
package gateway
