package platform

import (
	"errors"
	"fmt"

	"shallotrun/core/clock"
)

// ErrNotFound is returned if the object does not exist.
var ErrNotFound = errors.New("the object does not exist")

// Conflict is returned if the condition of a create, update or delete is not met.
type Conflict struct {
	Version uint64 // current version of the object, 0 if it does not exist
}

// RateLimited is returned if the request exceeds the platform's rate limit. The request had no effect.
type RateLimited struct {
	RetryAfter clock.Span // time to wait, 0 if the platform gave none
}

// Unavailable is returned if there was no usable response. If MaybeSent is true, a change may have taken effect.
type Unavailable struct {
	MaybeSent bool // the request may have reached the platform
	Cause     error
}

// Error includes the current version.
func (e *Conflict) Error() string {
	return fmt.Sprintf("the object has version %d now", e.Version)
}

// Error includes the time to wait.
func (e *RateLimited) Error() string {
	return fmt.Sprintf("the platform's rate limit is reached, retry after %d ms", e.RetryAfter)
}

// Error includes the cause.
func (e *Unavailable) Error() string {
	return "the platform gave no usable response: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error { return e.Cause }
