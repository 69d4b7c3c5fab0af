package load

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"shallotrun/internal/standin/ledger"
)

// Guards against a stream that is reported as moved to another version, as it goes on with the version that it began with, and against a
// session that moves without a report.
func TestSessionsOfContinuedStreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		before string // version that the session has before the request
		begun  bool   // the session is closed and begins anew at m@2 while the stream is broken
		wrong  string
	}{
		{"first request", "", false, ""},
		{"same version", "m@1", false, ""},
		{"begun anew meanwhile", "m@1", true, ""},
		{"moved", "m@3", false, "the session moved from m@3 to m@1"},
	} {
		l := Generator{
			sessions: &sessions{}, failed: &failedTargets{retryAt: map[string]time.Time{}},
			Rate: 1000, Count: 1, Seed: 3, IdleTimeout: 5 * time.Second, ResumableIdleTimeout: 5 * time.Second, MaxResumes: 2, Tenants: []Tenant{{"a", "k", 1}},
			Mix: Mix{RankWeights: [3]int{1, 1, 1}, Models: []string{"m"}, StreamFraction: 1, SessionFraction: 1, PromptWords: 5, MaxTokens: 20},
		}
		ln, err := ledger.Listen("127.0.0.1:0")
		assert.NilError(t, err)
		l.Targets = []string{ln.Addr().String()}
		r := newPlanner(l).next(0)
		go ledger.Serve(t.Context(), ln, func(ctx *fasthttp.RequestCtx) {
			if len(ctx.Request.Header.Peek("Last-Event-ID")) > 0 && c.begun {
				l.sessions.recordRefusal(r.Session, "version-withdrawn")
				l.sessions.recordAnswer(r.Session, "t2", "m@2")
			}
			faultyVM{"break"}.serve(ctx)
		})
		if c.before != "" {
			l.sessions.recordAnswer(r.Session, "t", c.before)
		}
		l.chat(r)
		assert.Equal(t, r.Resumes, 1, c.name)
		assert.Equal(t, r.Wrong, c.wrong, c.name)
	}
}
