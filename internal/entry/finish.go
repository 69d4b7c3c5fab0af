package entry

import (
	"context"
	"slices"

	"github.com/samber/oops"

	"shallotrun/core/flow"
	"shallotrun/core/work"
	"shallotrun/io/caller"
)

// cancel cancels the generation at the server.
func (x *exchange) cancel() flow.Event {
	x.closeStream()
	t := x.target()
	out, err := x.d.engines.Cancel(x.vm.Addr, x.request.id, t.Model, t.Version)
	if err != nil {
		x.d.Log.Debug().Err(err).Str("server", x.vm.Name).Msg("engine: cancelling the generation failed")
	}
	return flow.Cancelled{Tokens: out.Tokens}
}

// saveBill saves the bill, unless another exchange or another VM has to.
func (x *exchange) saveBill() flow.Event {
	x.releaseSlot()
	switch {
	case x.takenOver.Load():
		return flow.BillSaved{TakenOver: true}
	case x.unbilled:
		return flow.BillSaved{}
	}
	b := work.Bill{Request: x.request.id, Workspace: x.request.workspace.Name, At: x.d.Clock.Wall()}
	b.Stages = slices.Concat(x.priorStages, x.flow.Bill())
	if err := x.d.Bills.Save(context.Background(), b, x.billHolder); err != nil {
		x.d.Log.Info().Err(err).Str("request", x.request.id).Msg("caller: bill dropped, another entry VM took over the request")
		return flow.BillSaved{TakenOver: true}
	}
	return flow.BillSaved{}
}

// finish executes a final command.
func (x *exchange) finish(c flow.Command) {
	x.final = c
	switch c := c.(type) {
	case flow.Finish:
		x.rateSample()
		if !x.streaming {
			return
		}
		a := x.answer()
		out, err := a.AppendEnd(x.out)
		if err != nil {
			x.final = flow.Drop{}
			x.d.Log.Error().Err(oops.Wrap(err)).Msg("caller: encoding the end of the stream failed")
			return
		}
		x.out = out
	case flow.Abort:
		if x.streaming {
			if x.chunks != nil { // otherwise serve answers and counts it as a refusal
				x.d.metrics.refusals.WithLabelValues(c.Refusal.Code).Inc()
				x.request.recordRefusal(c.Refusal)
			}
			x.out = caller.AppendError(x.out, caller.ProblemJSON(c.Refusal, x.request.id))
		}
	case flow.Drop:
		x.d.metrics.callersGone.Inc()
	}
}

// answer returns the answer for the caller, with the token counts of the end event.
func (x *exchange) answer() *caller.Answer {
	return &caller.Answer{
		RequestID: x.request.id, Model: x.target().String(), Text: x.text, FinishReason: x.endEvent.Reason,
		PromptTokens: x.endEvent.PromptTokens, CompletionTokens: x.endEvent.CompletionTokens,
	}
}

// closeStream closes the connection of the attempt and ends its span.
func (x *exchange) closeStream() {
	if x.stream != nil {
		x.stream.Close()
		x.stream = nil
	}
	if x.span != nil {
		x.span.End()
		x.span = nil
	}
}

// releaseSlot releases the server's slot.
func (x *exchange) releaseSlot() {
	if x.ticket != nil {
		x.pool.release(x.ticket, max(x.attempt.tokens, x.flow.LastToken))
		x.ticket = nil
	}
}
