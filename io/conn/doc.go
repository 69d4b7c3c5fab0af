// Package conn makes HTTP/1.1 calls to backend servers, one request on one connection at a time.
//
// It uses fasthttp's request and response codec but not its client, because that client retries requests on its own and
// covers a whole response with one timeout. Here a call is sent at most once, and each read and write has its own
// progress deadline, so a stream may last as long as it makes progress.
//
// Heads and trailers of responses are checked before fasthttp reads them, because it accepts invalid statuses and malformed names of fields.
// CheckHeads does the same for the connections of fasthttp's own client, but for trailers.
//
// An idle connection is reused only within MaxIdleTime of its last successful use, because the server may since have closed
// it, or become unreachable, unnoticed. A failed call reports whether any byte of the request was sent, so that its caller
// can decide on a retry.
package conn
