// Package retry decides whether and when an entry VM repeats a failed attempt, so that retries do not multiply the load of a
// failing pool: a retry budget for extra attempts, backoff with jitter, a circuit breaker for each replica and version, and a
// rule for hedging.
//
// The package does not decide whether a request may be repeated at all: the caller uses it only for work that is idempotent or
// that a backend server refused without running it. The types of this package are not safe for concurrent use.
package retry
