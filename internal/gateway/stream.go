package gateway

import (
	"errors"
	"io"

	"shallotrun/core/work"
)

// Stream is the answer to a request with a series of events. Read gives the bytes to pass on; it fails with
// ErrBroken if the stream could not be completed, and the answer must then not look complete. Close ends it.
type Stream struct {
	Status int
	Fields []Field

	x     *exchange
	reply *Reply
	out   []byte
	sent  int
	err   error // to be returned once out is read

	passed int   // bytes of events that were passed on
	seen   int64 // identifier of the newest event of the attempt under way
	idle   int   // bytes of the attempt's events since the last one that was passed on
}

// errNoProgress means that a server goes on sending events that the caller has already, or that have no identifier.
var errNoProgress = errors.New("the events bring the stream no further")

// repeatReserve is what a server may send beyond the events that the caller has already, without an event that is passed on, in
// bytes. It covers comments that keep a connection open.
const repeatReserve = 64 << 10

// ErrBroken means that the stream could not be completed.
var ErrBroken = errors.New("the stream could not be completed")

// batch bounds the events that are collected while more can be read without waiting, in bytes.
const batch = 4 << 10

// begin reads a stream up to its first event.
func (x *exchange) begin(reply *Reply) (Answer, *Fault) {
	s := &Stream{Status: reply.Status, Fields: reply.Fields, x: x, reply: reply, seen: NoEvent}
	if err := s.fill(); err != nil {
		reply.Close(false)
		return nil, &Fault{How: Unknown, Err: err}
	}
	return s, nil
}

// Read gives the next events.
func (s *Stream) Read(p []byte) (int, error) {
	for s.sent == len(s.out) {
		if s.err != nil {
			return 0, s.err
		}
		s.out, s.sent = s.out[:0], 0
		if err := s.fill(); err != nil {
			s.recover(err)
		}
	}
	n := copy(p, s.out[s.sent:])
	s.sent += n
	return n, nil
}

// Close ends the stream. If it is not complete, the caller went away.
func (s *Stream) Close() error {
	if s.err == nil {
		s.x.fail(causeGone)
		s.reply.Close(false)
		s.x.result(work.Result{}, false)
		s.x.close(&work.Refusal{Code: codeGone, Status: s.Status, Ran: work.DidRun, Detail: "the caller went away"})
	}
	s.x.g.leave(s.x)
	return nil
}

// fill reads events until there is one to pass on and no more can be read without waiting. It sets err at the
// complete end.
func (s *Stream) fill() error {
	x := s.x
	var ev Event
	for {
		err := s.next(&ev)
		x.idle()
		if errors.Is(err, io.EOF) {
			s.err = io.EOF
			x.answered()
			s.reply.Close(true)
			x.result(work.Result{}, false)
			x.close(nil)
			return nil
		}
		if err != nil {
			return err
		}
		x.last = ev.ID
		s.out = append(s.out, ev.Raw...)
		s.passed += len(ev.Raw)
		if len(s.out) >= batch || !s.reply.Events.Buffered() {
			return nil
		}
	}
}

// next reads the next event to pass on. A server that went on earlier than asked repeats events that the caller has: they show
// that it works, as long as each is newer than the one before, and are not passed on.
func (s *Stream) next(ev *Event) error {
	x := s.x
	x.wait(0)
	for {
		if err := s.reply.Events.Next(ev); err != nil {
			return err
		}
		if ev.ID > s.seen {
			s.seen = ev.ID
			x.answered()
			x.events++
			if x.events == paceKnown {
				x.judge(false)
			}
			x.pool.heard(x.server.ID, x.g.Clock.Now())
			if ev.ID > x.last {
				s.idle = 0
				return nil
			}
			x.wait(0)
		}
		if s.idle += len(ev.Raw); s.idle > s.passed+repeatReserve {
			return errNoProgress
		}
	}
}

// recover goes on with the stream at another server, or ends it as broken.
func (s *Stream) recover(err error) {
	x := s.x
	for {
		s.reply.Close(false)
		refusal := x.failed(&Fault{How: Unknown, Err: err})
		if refusal == nil {
			refusal = s.resume()
			if refusal == nil {
				return
			}
		}
		if refusal.Code == codeResume {
			err = errors.New(refusal.Detail)
			continue
		}
		s.err = ErrBroken
		x.close(refusal)
		return
	}
}

// codeResume marks an answer with which a stream cannot go on.
const codeResume = "resume-failed"

// resume sends the request to another server, to go on after the last event.
func (s *Stream) resume() *work.Refusal {
	x := s.x
	reply, refusal := x.next()
	if refusal != nil {
		return refusal
	}
	s.reply, s.seen, s.idle = reply, NoEvent, 0
	if reply.Events == nil || reply.Status != s.Status {
		return &work.Refusal{Code: codeResume, Detail: "the server did not go on with the stream"}
	}
	x.g.metrics.resumes.Inc()
	if err := s.fill(); err != nil {
		return &work.Refusal{Code: codeResume, Detail: err.Error()}
	}
	return nil
}
