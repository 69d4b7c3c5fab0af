// Package platform is the HTTP client of the platform's object API and of its list of VMs.
//
// Every method sends at most one request and never retries it. A conditional update whose response is lost may have
// taken effect, so the caller has to decide what a lost response means. Errors are [ErrNotFound], [*Conflict],
// [*RateLimited] or [*Unavailable], matched with errors.Is and errors.As; a response that cannot be used is an
// [*Unavailable] with the reason.
//
// The value of an object is one JSON value, sent as the body of a PUT and received in the field value of a response.
package platform
