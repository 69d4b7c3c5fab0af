// Package caller is the HTTP edge towards callers: the server with its limits, the reading of requests, and
// the writing of refusals, answers and event streams. What to answer is decided elsewhere.
//
// Every write to a caller has a progress deadline, and a response may last as long as it makes progress.
// A body stream that returns an error ends with a broken connection, never with a normal end of the body.
package caller
