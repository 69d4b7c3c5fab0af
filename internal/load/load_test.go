package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"shallotrun/internal/standin/engine"
	"shallotrun/internal/standin/ledger"
)

// faultyVM is an entry VM with one fault.
type faultyVM struct{ fault string }

func (v faultyVM) serve(ctx *fasthttp.RequestCtx) {
	var body struct {
		Messages []struct{ Content string }
		Limit    int `json:"max_tokens"`
	}
	json.Unmarshal(ctx.PostBody(), &body)
	prompt := "user: " + body.Messages[0].Content
	last := string(ctx.Request.Header.Peek("Last-Event-ID"))
	from, _ := strconv.Atoi(last[strings.LastIndexByte(last, '.')+1:])
	n, reason := engine.Length("m", "1", prompt, body.Limit)
	ctx.Response.Header.Set("Shallot-Model", "m@1")
	ctx.Response.Header.Set("Shallot-Request", "r")
	if v.fault == "refuse" {
		ctx.SetStatusCode(503)
		ctx.SetBodyString(`{"code":"overloaded","ran":"not run"}`)
		return
	}
	if v.fault == "field" {
		ctx.Response.Header.Set("X Zz", "odd")
	}
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := from + 1; i <= n; i++ {
			switch {
			case i == 4 && from == 0 && v.fault == "break":
				w.Flush()
				time.Sleep(50 * time.Millisecond) // time for the server to write what was flushed
				conn.Close()
				return
			case i == 4 && v.fault == "cut":
				n = i
			case i == 4 && v.fault == "skip":
				continue
			case i == 4 && v.fault == "twice":
				i--
				v.fault = ""
			}
			text, _ := json.Marshal(engine.TokenText("m", "1", prompt, i))
			if i == 4 && v.fault == "mix" {
				text = []byte(`" other"`)
			}
			fmt.Fprintf(w, "id: tok.%d\ndata: {\"model\":\"m@1\",\"choices\":[{\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n", i, text)
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":%q}]}\n\n", reason)
		if v.fault == "open" {
			return
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
}

// Guards against a load generator that accepts a damaged answer as complete, or reports a broken stream as a damaged answer.
func TestAnswers(t *testing.T) {
	tests := []struct {
		fault   string
		outcome string
		whole   bool
		wrong   string
		resumes int
	}{
		{"", Answered, true, "", 0},
		{"break", Answered, true, "", 1},
		{"refuse", Refused, false, "", 0},
		{"cut", Answered, false, "answer cut", 0},
		{"mix", Answered, false, "differs", 0},
		{"skip", Broken, false, "do not follow", 0},
		{"twice", Broken, false, "do not follow", 0},
		{"open", Broken, false, "", 2},
		{"field", Broken, false, "", 0},
	}
	for _, test := range tests {
		ln, err := ledger.Listen("127.0.0.1:0")
		assert.NilError(t, err)
		go ledger.Serve(t.Context(), ln, faultyVM{test.fault}.serve)
		l := Generator{
			Targets: []string{ln.Addr().String()}, Rate: 1000, Count: 1, Seed: 3, IdleTimeout: 5 * time.Second, MaxResumes: 2,
			Tenants: []Tenant{{"a", "k", 1}},
			Mix:     Mix{RankWeights: [3]int{1, 1, 1}, Models: []string{"m"}, StreamFraction: 1, PromptWords: 5, MaxTokens: 20},
		}
		r := l.Run(t.Context()).Records[0]
		assert.Check(t, r.Outcome == test.outcome && r.Complete == test.whole && r.Resumes == test.resumes, "%s: %+v", test.fault, r)
		assert.Check(t, strings.Contains(r.Wrong, test.wrong) && (r.Wrong == "") == (test.wrong == ""), "%s: %q", test.fault, r.Wrong)
	}
}

// Guards against a run that can't be repeated: a failure found with a seed must be reproducible with it.
func TestPlanRepeats(t *testing.T) {
	l := Generator{Targets: []string{"a", "b"}, Rate: 10, Seed: 5, Tenants: []Tenant{{"a", "k", 1}, {"b", "k", 3}}}
	l.Mix = Mix{
		RankWeights: [3]int{1, 2, 1}, Models: []string{"m", "n"}, StreamFraction: 0.5, SessionFraction: 0.5, PlainFraction: 0.3,
		KeyedFraction: 0.5, Service: "tags",
	}
	p, q := newPlanner(l), newPlanner(l)
	for n := range 200 {
		assert.DeepEqual(t, p.next(n).Record, q.next(n).Record)
	}
}
