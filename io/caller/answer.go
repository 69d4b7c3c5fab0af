package caller

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Answer is the content of an answer in one piece, or of the last chunk of a stream.
type Answer struct {
	RequestID, Model               string
	Text                           []byte // content of a JSON string without its quotes; set only for an answer in one piece
	FinishReason                   string
	PromptTokens, CompletionTokens int
}

// Chunks encodes the token events of one stream. The constant part of a chunk is encoded only once.
type Chunks struct {
	prefix, suffix []byte
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Message *content `json:"message,omitempty"`
	Delta   *content `json:"delta,omitempty"`
	Reason  *string  `json:"finish_reason"`
}

type content struct {
	Role    string          `json:"role,omitempty"`
	Content json.RawMessage `json:"content,omitempty"`
}

type usage struct {
	Prompt int `json:"prompt_tokens"`
	Tokens int `json:"completion_tokens"`
}

// NewChunks returns the encoder for the stream of a request.
func NewChunks(request, model string) (*Chunks, error) {
	mark := []byte(`"\u0000"`) // in the place of the text; the encoded chunk is split at it
	b, err := json.Marshal(chunk{ID: request, Object: objectChunk, Model: model,
		Choices: []choice{{Delta: &content{Content: mark}}}})
	if err != nil {
		return nil, oops.Wrapf(err, "stream chunk")
	}
	head, tail, ok := bytes.Cut(b, mark)
	if !ok {
		return nil, oops.Errorf("stream chunk cannot be split")
	}
	return &Chunks{
		prefix: append([]byte("\ndata: "), head...),
		suffix: append(bytes.Clone(tail), "\n\n"...),
	}, nil
}

// Append appends the event of token n to b. Prefix is the resume token and a dot; text is a JSON string.
func (c *Chunks) Append(b, prefix []byte, n int, text []byte) []byte {
	b = append(b, "id: "...)
	b = append(b, prefix...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, c.prefix...)
	b = append(b, text...)
	return append(b, c.suffix...)
}

// AppendEnd appends the last chunk, with the finish reason and the usage, and the end marker of the stream.
func (a *Answer) AppendEnd(b []byte) ([]byte, error) {
	v, err := json.Marshal(chunk{ID: a.RequestID, Object: objectChunk, Model: a.Model,
		Choices: []choice{{Delta: &content{}, Reason: &a.FinishReason}}, Usage: &usage{a.PromptTokens, a.CompletionTokens}})
	if err != nil {
		return b, oops.Wrapf(err, "end of stream")
	}
	b = append(b, "data: "...)
	b = append(b, v...)
	return append(b, "\n\ndata: [DONE]\n\n"...), nil
}

// AppendError appends the error event that ends a stream which could not be completed. Problem is a problem details object.
func AppendError(b, problem []byte) []byte {
	b = append(b, "event: error\ndata: "...)
	b = append(b, problem...)
	return append(b, "\n\n"...)
}

// Write sends the answer in one piece.
func (a *Answer) Write(ctx *fasthttp.RequestCtx) error {
	text := append(append([]byte{'"'}, a.Text...), '"')
	b, err := json.Marshal(chunk{ID: a.RequestID, Object: "chat.completion", Model: a.Model,
		Choices: []choice{{Message: &content{"assistant", text}, Reason: &a.FinishReason}}, Usage: &usage{a.PromptTokens, a.CompletionTokens}})
	if err != nil {
		return oops.Wrapf(err, "answer")
	}
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyRaw(b)
	return nil
}

const objectChunk = "chat.completion.chunk"
