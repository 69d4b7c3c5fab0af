// Package platform is the HTTP client of the platform's object API and of its list of VMs.
//
// Every method sends exactly one request, or none, and never repeats it: the callers decide what a lost
// response means, because a conditional update whose response is lost may have taken effect. Errors are
// [ErrNotFound], [*Conflict], [*Limited] or [*Unavailable], found with errors.Is and errors.As; a response
// that makes no sense is an [*Unavailable] with the reason.
//
// The value of an object is one JSON value: the body of a PUT, and the field value of a response.
package platform
