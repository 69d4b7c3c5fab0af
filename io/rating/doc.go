// Package rating is the HTTP client for the service that rates answers. A call is sent at most once, and each of its reads and
// writes has a timeout, so that a slow or failed rating service delays a request only for a bounded time. After an error the
// package's users go on without a rating.
package rating
