// Package plain is the HTTP client for plain services. Method, path, headers and body pass through. A call is sent at most
// once, on a connection that was idle for no longer than the pool's limit or on a new one. The package makes no retries: its
// user decides whether a call may be repeated.
package plain
