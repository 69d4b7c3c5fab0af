package bill

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// States of a take.
const (
	takeSent    takeState = iota // no answer yet
	takeGranted                  // this VM bills the request
	takeDenied                   // the first VM bills it
)

type takeState uint8

// take is a request that started on another VM and continues on this one.
type take struct {
	holder    Holder
	state     takeState
	bill      *work.Bill // set if the request ended before the answer came
	sentAt    clock.Time
	startedAt clock.Time
}

// TakeOver asks the copy holder of a request for the right to bill it.
func (r *Recorder) TakeOver(now clock.Time, request string, holder Holder) []Command {
	r.init()
	if t := r.takes[request]; t != nil && t.state != takeDenied {
		return nil
	}
	t := &take{holder: holder, sentAt: now, startedAt: now}
	r.takes[request] = t
	if holder.Name == "" {
		t.state = takeDenied
		return nil
	}
	if holder.Name == r.Self {
		return r.TakeAnswered(now, request, r.HandleTake(now, Take{Request: request, Holder: holder.String()}).Answer)
	}
	return []Command{SendTake{To: holder.Name, Take: Take{Request: request, Holder: holder.String()}}}
}

// TakeAnswered handles the answer of a copy holder to a take.
func (r *Recorder) TakeAnswered(now clock.Time, request string, a Answer) []Command {
	t := r.takes[request]
	if t == nil || t.state != takeSent {
		return nil
	}
	if t.state = takeDenied; a == Granted {
		t.state = takeGranted
		if t.bill != nil {
			return r.recordSingle(now, *t.bill)
		}
	}
	return nil
}

// TakeDenied reports whether the first VM bills a request that this VM tried to take over.
func (r *Recorder) TakeDenied(request string) bool {
	t := r.takes[request]
	return t == nil || t.state == takeDenied
}

func (r *Recorder) recordTaken(now clock.Time, b work.Bill, t *take) []Command {
	switch t.state {
	case takeGranted:
		return r.recordSingle(now, b)
	case takeSent:
		t.bill = &b
	}
	return []Command{Finish{Request: b.Request, Uncopied: t.state == takeSent}}
}

// tickTakes sends takes without an answer again. If the copy holder is lost, it may have denied the take, so the bill is
// left to the first VM. That is safe if it granted the take: the first VM, whose copy it refused, then bills the request
// after takerWait.
func (r *Recorder) tickTakes(now clock.Time) []Command {
	var out []Command
	for _, request := range sortedKeys(r.takes) {
		t := r.takes[request]
		switch {
		case t.state == takeSent && r.Lost(t.holder.Name, t.holder.Inc):
			t.state, t.bill = takeDenied, nil
		case t.state == takeSent && now.Sub(t.sentAt) >= retryInterval:
			t.sentAt = now
			out = append(out, SendTake{To: t.holder.Name, Take: Take{Request: request, Holder: t.holder.String()}})
		case t.state != takeSent && now.Sub(t.startedAt) >= retention:
			delete(r.takes, request)
		}
	}
	return out
}

// TakePending reports whether the copy holder has not answered a take yet.
func (r *Recorder) TakePending(request string) bool {
	t := r.takes[request]
	return t != nil && t.state == takeSent
}
