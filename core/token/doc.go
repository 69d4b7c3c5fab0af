// Package token makes and reads the signed tokens that a caller carries: session tokens and resume tokens.
//
// A token is CBOR with an HMAC-SHA256, cut to 16 bytes, in unpadded base64url. It contains no dot, so that
// RESUMETOKEN.N can be split at its last dot. Every entry VM has the same keys; the first key signs, all
// keys verify, so that a key can be replaced without invalidating open sessions.
package token
