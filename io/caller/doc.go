// Package caller is the HTTP server for callers: it enforces input limits, parses requests, and writes refusals, answers and
// event streams. Its users decide what to answer.
//
// Each write to a caller has a progress deadline, so a response may last as long as it makes progress. If a body stream
// returns an error, the connection is broken off, so that a caller can't take a partial answer for a complete one.
package caller
