package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/url"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
)

// formTokenValidity is the shortest time for which the CSRF token of a form is valid. A browser sends the credentials of
// basic authentication with every request, including a form submitted from another site. Each form therefore carries
// a token that only pages of this console contain.
const formTokenValidity = 12 * clock.Hour

// formToken returns the CSRF token of an operator in a period: an HMAC that is the same on every entry VM.
func (s *Server) formToken(p Person, period int64) string {
	m := hmac.New(sha256.New, s.Secret)
	_, _ = fmt.Fprintf(m, "form|%s|%s|%d", p.Name, p.Hash, period) // writing to a hash never fails
	return hex.EncodeToString(m.Sum(nil))
}

// formTokenPeriod returns the number of the present period; a period lasts formTokenValidity.
func (s *Server) formTokenPeriod() int64 { return int64(s.Clock.Wall()) / int64(formTokenValidity) }

// formTokenValid reports whether a token is of the present or the previous period. Without a secret, no token is valid.
func (s *Server) formTokenValid(p Person, token string) bool {
	if len(s.Secret) == 0 {
		return false
	}
	now := s.formTokenPeriod()
	return hmac.Equal([]byte(token), []byte(s.formToken(p, now))) || hmac.Equal([]byte(token), []byte(s.formToken(p, now-1)))
}

// sameSite reports whether a request is from the console's own origin, judged by the headers that the browser sets. A request
// without these headers is accepted.
func (s *Server) sameSite(ctx *fasthttp.RequestCtx) bool {
	if site := string(ctx.Request.Header.Peek("Sec-Fetch-Site")); site != "" && site != "same-origin" {
		return false
	}
	origin := string(ctx.Request.Header.Peek(fasthttp.HeaderOrigin))
	if origin == "" {
		return true
	}
	u, err := url.Parse(origin)
	return err == nil && u.Host == string(ctx.Host())
}
