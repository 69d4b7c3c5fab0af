// Package token signs and verifies the tokens that entry VMs give to callers: session tokens keep a session on its model
// versions, and resume tokens let an entry VM continue a stream that another one started.
//
// A token is CBOR followed by an HMAC-SHA256 that is cut to 16 bytes, in unpadded base64url. It contains no dot, so that an
// event id RESUMETOKEN.N can be split at its last dot. All entry VMs have the same keys. The first key signs and all keys
// verify, so that a key can be replaced without invalidating open sessions.
package token
