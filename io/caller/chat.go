package caller

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Chat is the body of POST /v1/chat/completions.
type Chat struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Headers holds the request headers that the router reads, copied out of fasthttp's buffers.
type Headers struct {
	APIKey         string     // bearer key of Authorization
	Rank           string     // Shallot-Rank, "" for none
	Session        string     // Shallot-Session: "new", a session token, or "" for none
	Deadline       clock.Span // Shallot-Deadline, at most 24 h, 0 for none
	IdempotencyKey string     // Idempotency-Key
	LastEventID    string     // Last-Event-ID
	Trace          string     // traceparent
}

// ReadHeaders parses the headers. It refuses a request without a bearer key, with a key or an Idempotency-Key of more than
// KeyLimit bytes, or with a Shallot-Deadline that is not a positive number. It doesn't check whether the key exists.
func ReadHeaders(h *fasthttp.RequestHeader) (Headers, *work.Refusal) {
	key, ok := strings.CutPrefix(string(h.Peek("Authorization")), "Bearer ")
	out := Headers{
		APIKey: key, Rank: string(h.Peek("Shallot-Rank")), Session: string(h.Peek("Shallot-Session")),
		IdempotencyKey: string(h.Peek("Idempotency-Key")), LastEventID: string(h.Peek("Last-Event-ID")), Trace: string(h.Peek("traceparent")),
	}
	if !ok || len(key) > KeyLimit {
		return out, &work.Refusal{Code: work.CodeKeyUnknown, Status: 401, Ran: work.NotRun, Detail: "no valid API key was given"}
	}
	if len(out.IdempotencyKey) > KeyLimit {
		return out, tooLarge("the Idempotency-Key exceeds %d bytes", KeyLimit)
	}
	if d := h.Peek("Shallot-Deadline"); len(d) > 0 {
		ms, err := strconv.ParseInt(string(d), 10, 64)
		if err != nil || ms <= 0 {
			return out, badRequest("Shallot-Deadline is not a positive number of milliseconds")
		}
		out.Deadline = min(clock.Span(ms), 24*clock.Hour)
	}
	return out, nil
}

// ReadChat parses the body of a chat and checks its limits.
func ReadChat(body []byte) (*Chat, *work.Refusal) {
	if nestingDepth(body) > NestingLimit {
		return nil, tooLarge("the body is nested more than %d levels deep", NestingLimit)
	}
	c := new(Chat)
	if err := json.Unmarshal(body, c); err != nil {
		return nil, badRequest("the body is not a valid chat: %v", err)
	}
	switch {
	case c.Model == "" || len(c.Model) > KeyLimit:
		return nil, badRequest("model is missing or longer than %d bytes", KeyLimit)
	case len(c.Messages) == 0:
		return nil, badRequest("messages is empty")
	case len(c.Messages) > MessageLimit:
		return nil, tooLarge("more than %d messages", MessageLimit)
	case c.MaxTokens < 0:
		return nil, badRequest("max_tokens is negative")
	}
	return c, nil
}

// Prompt returns the messages as one text, each message preceded by its role and a colon.
func (c *Chat) Prompt() string {
	var b strings.Builder
	for i, m := range c.Messages {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
	}
	return b.String()
}

// nestingDepth returns the largest nesting depth of a JSON text.
func nestingDepth(b []byte) int {
	most, now, quoted := 0, 0, false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			now++
			most = max(most, now)
		case c == '}' || c == ']':
			now--
		}
	}
	return most
}

func badRequest(format string, args ...any) *work.Refusal {
	return &work.Refusal{Code: work.CodeBadRequest, Status: 400, Ran: work.NotRun, Detail: fmt.Sprintf(format, args...)}
}

func tooLarge(format string, args ...any) *work.Refusal {
	return &work.Refusal{Code: work.CodeTooLarge, Status: 413, Ran: work.NotRun, Detail: fmt.Sprintf(format, args...)}
}
