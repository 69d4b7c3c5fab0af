// Package rating is the HTTP client for the service that rates answers. A call is sent once and bounded by the
// time that the caller gives; whoever has no rating by then goes on without one.
package rating
