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

// formLife is how long the token of a form is accepted, at least. A browser sends basic authentication
// with every request, also with a form of another site, so each form carries a token that only a page of
// this console can hold.
const formLife = 12 * clock.Hour

func (s *Server) token(p Person, period int64) string {
	m := hmac.New(sha256.New, s.Secret)
	_, _ = fmt.Fprintf(m, "form|%s|%s|%d", p.Name, p.Hash, period) // a hash takes every write
	return hex.EncodeToString(m.Sum(nil))
}

func (s *Server) period() int64 { return int64(s.Clock.Wall()) / int64(formLife) }

// tokenValid accepts the tokens of this period and of the one before it. Without a secret nothing is valid.
func (s *Server) tokenValid(p Person, token string) bool {
	if len(s.Secret) == 0 {
		return false
	}
	now := s.period()
	return hmac.Equal([]byte(token), []byte(s.token(p, now))) || hmac.Equal([]byte(token), []byte(s.token(p, now-1)))
}

// sameSite refuses what the browser itself marks as coming from another site.
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
