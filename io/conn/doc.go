// Package conn makes HTTP/1.1 calls to backend servers, one request on one connection at a time.
//
// It uses fasthttp's request and response codec but not its client: the client repeats requests by itself
// and covers a whole response with one timeout. Here a call is sent at most once, and every read and write
// has its own progress deadline, so a stream may last as long as it makes progress.
//
// An idle connection is used again only within Age of its last successful use, because an older one may
// have been closed or have gone silent unnoticed. A failure says whether any byte was sent.
package conn
