package caller

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"shallotrun/core/work"
)

// problem is a problem details object (RFC 9457).
type problem struct {
	Type    string   `json:"type"`
	Title   string   `json:"title"`
	Status  int      `json:"status"`
	Detail  string   `json:"detail"`
	Code    string   `json:"code"`
	Ran     work.Ran `json:"ran"`
	Request string   `json:"request,omitempty"`
}

// Problem answers with the problem details object of a refusal. Request is the request's ID, "" for none.
func Problem(ctx *fasthttp.RequestCtx, r *work.Refusal, request string) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(r.Status)
	ctx.SetContentType("application/problem+json")
	if request != "" {
		ctx.Response.Header.Set("Shallot-Request", request)
	}
	if r.Retry > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int((r.Retry+999)/1000)))
	}
	ctx.SetBody(ProblemJSON(r, request))
}

// ProblemJSON returns the problem details object of a refusal.
func ProblemJSON(r *work.Refusal, request string) []byte {
	b, err := json.Marshal(problem{
		Type: "about:blank", Title: fasthttp.StatusMessage(r.Status), Status: r.Status,
		Detail: r.Detail, Code: r.Code, Ran: r.Ran, Request: request,
	})
	if err != nil { // cannot happen: all fields are strings or numbers
		return []byte(`{"type":"about:blank"}`)
	}
	return b
}
