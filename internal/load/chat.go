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

// errSeam means that the parts of a stream do not fit together.
var errSeam = errors.New("event numbers do not follow")

// errEvent is a stream that ended with an error event: the VM says itself that the answer is incomplete.
var errEvent = errors.New("error event")

// chunk is one event of a stream, or a whole answer.
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

// answer collects the parts of a streamed answer.
type answer struct {
	text   strings.Builder
	last   string // last event id
	n      int    // number of the last event
	reason string
	usage  int
	done   bool
}

// chat sends a chat, continues it at other entry VMs while its stream breaks, and checks the answer.
func (l *Load) chat(r *request) {
	a := &answer{}
	start := l.clock.Now()
	for i := 0; ; i++ {
		addr := l.target(r.start + i)
		err := l.chatOnce(r, addr, a, start)
		r.Total = l.clock.Now().Sub(start)
		switch {
		case err == nil:
			if r.Outcome == Answered {
				l.check(r, a)
			}
			return
		case errors.Is(err, errDial):
			if r.Dials++; r.Dials > 2*len(l.Targets) {
				r.Outcome, r.Error = Broken, "no entry VM accepted a connection"
				return
			}
			l.avoid(addr)
			continue
		case errors.Is(err, errSeam):
			r.Outcome, r.Wrong = Broken, err.Error()
			return
		}
		l.broke(r, addr, err)
		if a.last == "" || errors.Is(err, errEvent) || r.Resumes >= l.Resumes {
			return
		}
		r.Resumes++
		l.avoid(addr)
	}
}

// chatOnce makes one attempt. It returns nil when the outcome is set.
func (l *Load) chatOnce(r *request, addr string, a *answer, start clock.Time) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	body, err := json.Marshal(map[string]any{
		"model": r.Model, "messages": []map[string]string{{"role": "user", "content": r.prompt}},
		"max_tokens": r.limit, "stream": r.Stream,
	})
	if err != nil {
		return err
	}
	req.SetRequestURI("http://" + addr + "/v1/chat/completions")
	req.SetBody(body)
	req.Header.SetMethod(fasthttp.MethodPost)
	head(req, r)
	if r.Session != "" {
		req.Header.Set("Shallot-Session", l.sessions.token(r.Session))
	}
	if a.last != "" {
		req.Header.Set("Last-Event-ID", a.last)
	}
	r.Target = addr
	resp, err := call(addr, req, l.Stall)
	if err != nil {
		return err
	}
	defer resp.conn.Close()
	if resp.request != "" {
		r.Requests = append(r.Requests, resp.request)
	}
	r.Status = resp.status
	if resp.status != fasthttp.StatusOK {
		if !resp.refused(&r.Record) {
			return fmt.Errorf("status %d without a problem details object", resp.status)
		}
		if r.Session != "" {
			l.sessions.refused(r.Session, r.Code)
		}
		return nil
	}
	if r.Served != "" && resp.model != "" && r.Served != resp.model {
		r.Wrong = "the continuation came from " + resp.model
	}
	if resp.model != "" {
		r.Served = resp.model
	}
	if r.Session != "" {
		if was, ok := l.sessions.opened(r.Session, resp.session, resp.model); !ok {
			r.Wrong = "the session moved from " + was + " to " + resp.model
		}
	}
	if r.Stream {
		return l.readStream(r, resp.body, resp.conn, a, start)
	}
	r.First = l.clock.Now().Sub(start)
	return readWhole(r, resp.body, a)
}

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
	a.reason, a.usage, a.done = c.Choices[0].Finish, c.Usage.Tokens, true
	if c.Model != "" {
		r.Served = c.Model
	}
	r.Outcome = Answered
	return nil
}

// readStream reads events until the end marker. Any other end is an error. From the first token on, a gap
// longer than Gap is a broken stream.
func (l *Load) readStream(r *request, body io.Reader, conn *progress, a *answer, start clock.Time) error {
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
			return fmt.Errorf("%w: %s", errEvent, data)
		case data == "[DONE]":
			r.Outcome = Answered
			a.done = true
			return nil
		}
		if r.First == 0 {
			r.First = l.clock.Now().Sub(start)
		}
		conn.stall = l.Gap
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

// add takes one event.
func (a *answer) add(id, data string, r *request) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return err
	}
	if c.Model != "" {
		r.Served = c.Model
	}
	if c.Usage.Tokens > 0 {
		a.usage = c.Usage.Tokens
	}
	if len(c.Choices) == 0 {
		return nil
	}
	if c.Choices[0].Finish != "" {
		a.reason = c.Choices[0].Finish
	}
	if id == "" {
		return nil
	}
	n, err := strconv.Atoi(id[strings.LastIndexByte(id, '.')+1:])
	if err != nil || n != a.n+1 {
		return fmt.Errorf("%w: %d came after %d", errSeam, n, a.n)
	}
	a.n, a.last = n, id
	a.text.WriteString(c.Choices[0].Delta.Content)
	return nil
}

// check compares the answer with the text that the engine gives.
func (l *Load) check(r *request, a *answer) {
	model, version, ok := strings.Cut(r.Served, "@")
	if !ok {
		r.Wrong = "no model version named"
		return
	}
	prompt := enginePrompt(r.prompt)
	want := engine.Answer(model, version, prompt, r.limit)
	n, reason := engine.Length(model, version, prompt, r.limit)
	r.Tokens = n
	got := a.text.String()
	switch {
	case got == want:
		r.Whole = true
	case strings.HasPrefix(want, got):
		r.Wrong = fmt.Sprintf("answer cut after %d of %d bytes", len(got), len(want))
	default:
		r.Wrong = fmt.Sprintf("answer of %d bytes differs from the %d bytes of %s", len(got), len(want), r.Served)
	}
	if r.Wrong == "" && a.usage != 0 && a.usage != n {
		r.Wrong = fmt.Sprintf("usage says %d tokens of %d", a.usage, n)
	}
	if r.Wrong == "" && a.reason != "" && a.reason != reason {
		r.Wrong = fmt.Sprintf("finish reason %q, want %q", a.reason, reason)
	}
}

// enginePrompt returns what the engine gets for a chat of one message: the role before the text.
func enginePrompt(text string) string { return "user: " + text }

func head(req *fasthttp.Request, r *request) {
	req.Header.Set("Authorization", "Bearer "+r.key)
	req.Header.Set("Shallot-Rank", r.Rank)
	req.Header.Set("Connection", "close")
	if r.wait > 0 {
		req.Header.Set("Shallot-Deadline", strconv.Itoa(r.wait))
	}
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	req.Header.SetContentType("application/json")
}
