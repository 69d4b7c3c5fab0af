package gateway

import (
	"errors"
	"io"
	"slices"
	"strings"

	"shallotrun/core/work"
)

// Stream is an answer that is a stream of events. Read returns the bytes for the caller. It returns ErrBroken if the stream could
// not be completed; the answer must then not look complete to the caller. Close must be called in any case.
type Stream struct {
	Status int
	Fields []Field

	x       *exchange
	reply   *Reply
	buf     []byte
	bufRead int
	err     error // returned once buf is read
	fault   error // broke the current attempt behind the events in buf, nil for none; the stream is resumed once buf is read

	passedBytes int   // bytes of events that were read for the caller
	newestEvent int64 // highest event identifier of the current attempt
	idleBytes   int   // bytes of the current attempt's events since the last one that was new to the caller
	resumed     bool  // the current attempt is not the first one
	skips       bool  // the first server's event identifiers are not consecutive
}

// errGap means that a server which resumes a stream leaves out events, although the identifiers before were consecutive.
var errGap = errors.New("the server left out events")

// errNoProgress means that a server keeps sending events that the caller already has, or that have no identifier.
var errNoProgress = errors.New("the server sends no new events")

// idleReserve is the number of bytes that a server may send without a new event, in addition to the size of the events that the
// caller already has. It allows for comments that keep a connection open.
const idleReserve = 64 << 10

// ErrBroken is returned by Stream.Read if the stream could not be completed.
var ErrBroken = errors.New("the stream could not be completed")

// batchBytes is the size from which collected events are sent to the caller even if more can be read without blocking.
const batchBytes = 4 << 10

// maxBufBytes is the size beyond which a buffer for collected events is not used again.
const maxBufBytes = 32 << 10

// openStream starts a stream and reads up to its first event. A fault behind that event does not fail the attempt: the caller gets the
// event, and Read resumes the stream after it.
func (x *exchange) openStream(reply *Reply) (Answer, *Fault) {
	s := &Stream{Status: reply.Status, Fields: reply.Fields, x: x, reply: reply, newestEvent: NoEvent}
	if err := s.fill(); err != nil {
		reply.Close(false)
		return nil, &Fault{Kind: OutcomeUnknown, Err: err}
	}
	return s, nil
}

// Read returns bytes of the next events, and io.EOF at the end of a complete stream.
func (s *Stream) Read(p []byte) (int, error) {
	for s.bufRead == len(s.buf) {
		if s.err != nil {
			return 0, s.err
		}
		s.offer(false)
		s.buf, s.bufRead = s.buf[:0], 0
		if cap(s.buf) > maxBufBytes {
			s.buf = nil // it held a large event
		}
		if err := s.fill(); err != nil {
			s.failOver(err)
		}
	}
	s.offer(true)
	n := copy(p, s.buf[s.bufRead:])
	s.bufRead += n
	return n, nil
}

// offer records that the caller is offered the rest of buf, or that it has accepted all of it. Until then a large event holds memory.
func (s *Stream) offer(begins bool) {
	h := s.x.largeEvent
	switch {
	case h == nil:
	case begins:
		h.offer(s.x.g.Clock.Now(), len(s.buf)-s.bufRead)
	default:
		h.since.Store(0)
	}
}

// Close ends the stream. A stream that has not ended by then was given up by the caller.
func (s *Stream) Close() error {
	if s.err == nil {
		s.x.abortAttempt(causeCallerGone)
		s.reply.Close(false)
		s.x.attemptEnded(work.Result{}, false)
		refusal := &work.Refusal{Code: codeGone, Status: s.Status, Ran: work.DidRun, Detail: "the caller went away"}
		switch gone := s.x.request.CallerGone; {
		case s.x.unreadEnded.Load():
			refusal.Code, refusal.Detail = codeSlow, "the caller read too slowly, and other answers waited for the memory"
		case gone != nil && !gone():
			refusal.Code, refusal.Detail = codeSlow, "the caller is connected, but accepted nothing for too long"
		}
		s.x.recordEnd(refusal)
	}
	s.x.g.removeOpen(s.x)
	return nil
}

// fill reads events into buf until there is at least one and no more can be read without blocking, or until buf has batchBytes.
// It sets err to io.EOF at the end of a complete stream. It returns an error only if it added no event to buf: exchange.lastEvent says
// after which event a server is asked to continue, so each event up to that one must reach the caller.
func (s *Stream) fill() error {
	x := s.x
	if err := s.fault; err != nil {
		s.fault = nil
		return err
	}
	var ev Event
	for {
		err := s.nextEvent(&ev)
		x.stopWaiting()
		if errors.Is(err, io.EOF) && s.reply.Length == endsWithConnection && s.newestEvent == NoEvent {
			err = io.ErrUnexpectedEOF // nothing shows that the server had finished
		}
		if errors.Is(err, io.EOF) {
			s.err = io.EOF
			x.firstAnswer()
			x.recordStart()
			s.reply.Close(true)
			x.attemptEnded(work.Result{}, false)
			x.recordEnd(nil)
			return nil
		}
		if err != nil && len(s.buf) > 0 {
			s.fault = err
			return nil
		}
		if err != nil {
			return err
		}
		x.lastEvent = ev.ID
		x.passedEvents++
		s.buf = append(s.buf, ev.Raw...)
		s.passedBytes += len(ev.Raw)
		if len(s.buf) >= batchBytes || !s.reply.Events.Buffered() {
			return nil
		}
	}
}

// nextEvent reads the next event that the caller does not have. A server that resumes earlier than it was asked to repeats events
// that the caller has. They are skipped, but show that the server works, as long as each is newer than the one before.
func (s *Stream) nextEvent(ev *Event) error {
	x := s.x
	x.startWaiting(0)
	for {
		if err := s.reply.Events.Next(ev); err != nil {
			return err
		}
		if ev.ID > s.newestEvent {
			s.newestEvent = ev.ID
			x.firstAnswer()
			if x.events == 0 {
				x.learnEnd(x.g.Clock.Now(), work.Result{First: x.timeToFirst})
			}
			x.events++
			x.checkProof()
			if x.events == intervalReportEvents {
				x.reportResult(false)
			}
			x.pool.byteReceived(x.server.ID, x.g.Clock.Now())
			if ev.ID > x.lastEvent {
				s.idleBytes = 0
				return s.checkOrder(ev.ID)
			}
			x.startWaiting(0)
		}
		if s.idleBytes += len(ev.Raw); s.idleBytes > s.passedBytes+idleReserve {
			return errNoProgress
		}
	}
}

// checkOrder returns errGap for the identifier of a new event after a gap that the server, as it resumes the stream, has made.
func (s *Stream) checkOrder(id int64) error {
	last := s.x.lastEvent
	switch {
	case last == NoEvent || id == last+1:
	case !s.resumed:
		s.skips = true
	case !s.skips:
		return errGap
	}
	return nil
}

// failOver resumes the stream at another server after err, or ends it as broken.
func (s *Stream) failOver(err error) {
	x := s.x
	for {
		s.reply.Close(false)
		refusal := x.attemptFailed(&Fault{Kind: OutcomeUnknown, Err: err})
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
		x.recordEnd(refusal)
		return
	}
}

// codeResume is the internal code of an answer that does not resume the stream. It is not sent to callers.
const codeResume = "resume-failed"

// resume sends the request to another server, to continue after the last event.
func (s *Stream) resume() *work.Refusal {
	x := s.x
	reply, refusal := x.send()
	if refusal != nil {
		return refusal
	}
	s.reply, s.newestEvent, s.idleBytes, s.resumed = reply, NoEvent, 0, true
	if reply.Events == nil || reply.Status != s.Status || !sameContent(s.Fields, reply.Fields) {
		return &work.Refusal{Code: codeResume, Detail: "the server did not resume the stream"}
	}
	x.g.metrics.resumes.Inc()
	if err := s.fill(); err != nil {
		return &work.Refusal{Code: codeResume, Detail: err.Error()}
	}
	return nil
}

// sameContent reports whether an answer has the media type of the one that it resumes, if that names one.
func sameContent(first, resumed []Field) bool {
	want := contentType(first)
	return want == "" || contentType(resumed) == want
}

// contentType returns the media type of an answer, "" if its head names none.
func contentType(fields []Field) string {
	i := slices.IndexFunc(fields, func(f Field) bool { return strings.EqualFold(f.Name, "Content-Type") })
	if i < 0 {
		return ""
	}
	return fields[i].Value
}
