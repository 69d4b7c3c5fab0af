// Package retry decides whether and when a failed attempt is repeated: a budget for extra attempts, backoff
// with jitter, a circuit breaker for each replica and version, and a rule for hedged attempts.
//
// Whether a request may be repeated at all is not decided here: the caller asks only for work that is
// idempotent or that a backend server refused without running it. Nothing here is safe for concurrent use.
package retry
