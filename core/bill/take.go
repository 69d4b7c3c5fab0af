package bill

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// States of a take.
const (
	asked takeState = iota // no answer yet
	mine
	theirs
)

type takeState uint8

// take is a request that started on another VM and goes on here.
type take struct {
	holder Holder
	state  takeState
	bill   *work.Bill // set when the request ended before the answer
	sent   clock.Time
	began  clock.Time
}

// TakeOver asks the holder of a request for the right to bill it.
func (d *Desk) TakeOver(now clock.Time, request string, holder Holder) []Command {
	d.init()
	if t := d.takes[request]; t != nil && t.state != theirs {
		return nil
	}
	t := &take{holder: holder, sent: now, began: now}
	d.takes[request] = t
	if holder.Name == "" {
		t.state = theirs
		return nil
	}
	if holder.Name == d.Self {
		return d.Taken(now, request, d.Mark(now, Take{Request: request, Holder: holder.String()}).Answer)
	}
	return []Command{SendTake{To: holder.Name, Take: Take{Request: request, Holder: holder.String()}}}
}

// Taken takes the holder's answer.
func (d *Desk) Taken(now clock.Time, request string, a Answer) []Command {
	t := d.takes[request]
	if t == nil || t.state != asked {
		return nil
	}
	if t.state = theirs; a == Marked {
		t.state = mine
		if t.bill != nil {
			return d.copyAlone(now, *t.bill)
		}
	}
	return nil
}

// Keeps reports that the bill of a request that this VM tried to take stays with the first VM.
func (d *Desk) Keeps(request string) bool {
	t := d.takes[request]
	return t == nil || t.state == theirs
}

func (d *Desk) fileTaken(now clock.Time, b work.Bill, t *take) []Command {
	switch t.state {
	case mine:
		return d.copyAlone(now, b)
	case asked:
		t.bill = &b
	}
	return []Command{Done{Request: b.Request, Uncopied: t.state == asked}}
}

// tickTakes asks again where the answer was lost. A lost holder may have refused, so that the bill stays
// with the first VM: that one bills a request alone whose copy was refused.
func (d *Desk) tickTakes(now clock.Time) []Command {
	var out []Command
	for _, request := range sorted(d.takes) {
		t := d.takes[request]
		switch {
		case t.state == asked && d.Lost(t.holder.Name, t.holder.Inc):
			t.state, t.bill = theirs, nil
		case t.state == asked && now.Sub(t.sent) >= retryEvery:
			t.sent = now
			out = append(out, SendTake{To: t.holder.Name, Take: Take{Request: request, Holder: t.holder.String()}})
		case t.state != asked && now.Sub(t.began) >= keep:
			delete(d.takes, request)
		}
	}
	return out
}

// Pending reports whether the holder has not answered yet.
func (d *Desk) Pending(request string) bool {
	t := d.takes[request]
	return t != nil && t.state == asked
}
