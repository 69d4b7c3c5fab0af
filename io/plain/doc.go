// Package plain is the HTTP client for plain services. Method, path, headers and body pass through; a call is
// sent exactly once, on a connection that was used within the last second or on a new one. Whether a call may
// be repeated is decided by the caller of the package.
package plain
