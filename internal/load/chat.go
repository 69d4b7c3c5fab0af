package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/internal/standin/engine"
)

// errEventOrder means that an event of a stream does not have the number that follows the last one.
var errEventOrder = errors.New("event numbers do not follow")

// errErrorEvent means that a stream ended with an error event, by which the VM reports that the answer is incomplete.
var errErrorEvent = errors.New("error event")

// chunk is one event of a streamed answer, or an answer that is not streamed.
type chunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
		Finish  string                   `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		Tokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// answer collects what was received of an answer over all attempts.
type answer struct {
	text             strings.Builder
	lastEventID      string // for Last-Event-ID; empty before the first token
	lastNumber       int    // number of the last event
	finishReason     string
	completionTokens int
	done             bool
}

// chat sends a chat request, resumes it at other entry VMs while its stream breaks, and checks the answer.
func (g *Generator) chat(r *request) {
	a := &answer{}
	start := g.clock.Now()
	for i := 0; ; i++ {
		addr := g.target(r.firstTarget + i)
		err := g.chatOnce(r, addr, a, start)
		r.TotalLatency = g.clock.Now().Sub(start)
		switch {
		case err == nil:
			if r.Outcome == Answered {
				g.checkAnswer(r, a)
			}
			return
		case errors.Is(err, errDial):
			if r.DialFailures++; r.DialFailures > 2*len(g.Targets) {
				r.Outcome, r.Error = Broken, "no entry VM accepted a connection"
				return
			}
			g.markFailed(addr)
			continue
		case errors.Is(err, errEventOrder):
			r.Outcome, r.Wrong = Broken, err.Error()
			return
		}
		g.recordBreak(r, addr, err)
		if a.lastEventID == "" || errors.Is(err, errErrorEvent) || r.Resumes >= g.MaxResumes {
			return
		}
		r.Resumes++
		g.markFailed(addr)
	}
}

// chatOnce makes one attempt. It returns nil if the request ended as answered or refused.
func (g *Generator) chatOnce(r *request, addr string, a *answer, start clock.Time) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	body, err := json.Marshal(map[string]any{
		"model": r.Model, "messages": []map[string]string{{"role": "user", "content": r.prompt}},
		"max_tokens": r.maxTokens, "stream": r.Stream,
	})
	if err != nil {
		return err
	}
	req.SetRequestURI("http://" + addr + "/v1/chat/completions")
	req.SetBody(body)
	req.Header.SetMethod(fasthttp.MethodPost)
	setHeaders(req, r)
	if r.Session != "" {
		req.Header.Set("Shallot-Session", g.sessions.token(r.Session))
	}
	if a.lastEventID != "" {
		req.Header.Set("Last-Event-ID", a.lastEventID)
	}
	r.Target = addr
	resp, err := call(addr, req, g.IdleTimeout)
	if err != nil {
		return err
	}
	defer resp.conn.Close()
	if resp.requestID != "" {
		r.RequestIDs = append(r.RequestIDs, resp.requestID)
	}
	r.Status = resp.status
	if resp.status != fasthttp.StatusOK {
		if !resp.readRefusal(&r.Record) {
			return fmt.Errorf("status %d without a problem details object", resp.status)
		}
		if r.Session != "" {
			g.sessions.recordRefusal(r.Session, r.Code)
		}
		return nil
	}
	if r.ServedVersion != "" && resp.model != "" && r.ServedVersion != resp.model {
		r.Wrong = "the continuation came from " + resp.model
	}
	if resp.model != "" {
		r.ServedVersion = resp.model
	}
	// A stream goes on with the version that it began with, which was checked then. Its session may have begun anew since, as the version
	// was withdrawn.
	if r.Session != "" && a.lastEventID == "" {
		if version, ok := g.sessions.recordAnswer(r.Session, resp.sessionToken, resp.model); !ok {
			r.Wrong = "the session moved from " + version + " to " + resp.model
		}
	}
	if r.Stream {
		return g.readStream(r, resp.body, resp.conn, a, start)
	}
	r.FirstLatency = g.clock.Now().Sub(start)
	return readWhole(r, resp.body, a)
}

// readWhole reads an answer that is not streamed.
func readWhole(r *request, body io.Reader, a *answer) error {
	b, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var c chunk
	if err := json.Unmarshal(b, &c); err != nil || len(c.Choices) == 0 {
		return fmt.Errorf("answer of %d bytes is not a chat completion", len(b))
	}
	a.text.WriteString(c.Choices[0].Message.Content)
	a.finishReason, a.completionTokens, a.done = c.Choices[0].Finish, c.Usage.Tokens, true
	if c.Model != "" {
		r.ServedVersion = c.Model
	}
	r.Outcome = Answered
	return nil
}

// readStream reads events until the end marker. Any other end is an error. From the first event on, the idle timeout is
// ResumableIdleTimeout instead of IdleTimeout.
func (g *Generator) readStream(r *request, body io.Reader, conn *timeoutConn, a *answer, start clock.Time) error {
	s := bufio.NewScanner(body)
	s.Buffer(nil, 1<<20)
	id, event := "", ""
	for s.Scan() {
		line := s.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
		}
		if v, ok := strings.CutPrefix(line, "event: "); ok {
			event = v
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case event == "error":
			var p problem
			if json.Unmarshal([]byte(data), &p) == nil {
				r.Code, r.Ran = p.Code, p.Ran
			}
			return fmt.Errorf("%w: %s", errErrorEvent, data)
		case data == "[DONE]":
			r.Outcome = Answered
			a.done = true
			return nil
		}
		if r.FirstLatency == 0 {
			r.FirstLatency = g.clock.Now().Sub(start)
		}
		conn.idleTimeout = g.ResumableIdleTimeout
		if err := a.add(id, data, r); err != nil {
			return err
		}
		id = ""
	}
	if s.Err() != nil {
		return s.Err()
	}
	return io.ErrUnexpectedEOF
}

// add adds one event; one without an id has no token. It returns errEventOrder if the event's number does not follow that of the last
// one.
func (a *answer) add(id, data string, r *request) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return err
	}
	if c.Model != "" {
		r.ServedVersion = c.Model
	}
	if c.Usage.Tokens > 0 {
		a.completionTokens = c.Usage.Tokens
	}
	if len(c.Choices) == 0 {
		return nil
	}
	if c.Choices[0].Finish != "" {
		a.finishReason = c.Choices[0].Finish
	}
	if id == "" {
		return nil
	}
	n, err := strconv.Atoi(id[strings.LastIndexByte(id, '.')+1:])
	if err != nil || n != a.lastNumber+1 {
		return fmt.Errorf("%w: %d came after %d", errEventOrder, n, a.lastNumber)
	}
	a.lastNumber, a.lastEventID = n, id
	a.text.WriteString(c.Choices[0].Delta.Content)
	return nil
}

// checkAnswer compares the answer, its number of tokens and its finish reason with what the engine generates for the model version.
func (g *Generator) checkAnswer(r *request, a *answer) {
	model, version, ok := strings.Cut(r.ServedVersion, "@")
	if !ok {
		r.Wrong = "no model version named"
		return
	}
	prompt := enginePrompt(r.prompt)
	want := engine.Answer(model, version, prompt, r.maxTokens)
	n, reason := engine.Length(model, version, prompt, r.maxTokens)
	r.Tokens = n
	got := a.text.String()
	switch {
	case got == want:
		r.Complete = true
	case strings.HasPrefix(want, got):
		r.Wrong = fmt.Sprintf("answer cut after %d of %d bytes", len(got), len(want))
	default:
		r.Wrong = fmt.Sprintf("answer of %d bytes differs from the %d bytes of %s", len(got), len(want), r.ServedVersion)
	}
	if r.Wrong == "" && a.completionTokens != 0 && a.completionTokens != n {
		r.Wrong = fmt.Sprintf("usage says %d tokens of %d", a.completionTokens, n)
	}
	if r.Wrong == "" && a.finishReason != "" && a.finishReason != reason {
		r.Wrong = fmt.Sprintf("finish reason %q, want %q", a.finishReason, reason)
	}
}

// enginePrompt returns the prompt that the engine receives for a chat of one message: the role before the text.
func enginePrompt(text string) string { return "user: " + text }

// setHeaders sets the headers that chats and calls to the plain service have in common.
func setHeaders(req *fasthttp.Request, r *request) {
	req.Header.Set("Authorization", "Bearer "+r.apiKey)
	req.Header.Set("Shallot-Rank", r.Rank)
	req.Header.Set("Connection", "close")
	if r.deadline > 0 {
		req.Header.Set("Shallot-Deadline", strconv.Itoa(r.deadline))
	}
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	req.Header.SetContentType("application/json")
}
