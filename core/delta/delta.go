// Package delta lets a VM and the one that it follows tell each other only the records that changed.
//
// Each VM numbers the changes of its records with a [Log]. A [Header] in each message says up to which change the sender has the
// receiver's records, and up to which change the receiver has the sender's once it has read the message. A VM that starts again
// has a new log, so it is told everything. The package holds no records: the sender asks a [Receiver] which ones are to be sent.
package delta

// Header is the part of a message that says which changes each side has.
type Header struct {
	Ledger     uint64 // log of the sender
	Rev        uint64 // change of the sender up to which the receiver has its records after this message
	PeerLedger uint64 // log of the receiver as the sender knows it, 0 for none
	PeerRev    uint64 // change of that log up to which the sender has its records
}

// Log numbers the changes of the records of one VM. ID is set before the first call, to a random number that is not 0.
type Log struct {
	ID  uint64
	Rev uint64 // number of the last change

	upstream upstream
}

// upstream is the log of the VM that this one follows.
type upstream struct {
	id    uint64 // 0 for none
	rev   uint64 // change up to which this VM has its records
	acked uint64 // change of this log up to which it has the records of this VM
}

// Receiver is what the receiver of a message has.
type Receiver struct {
	id  uint64
	rev uint64 // change of the sender up to which it has the records
}

// Lacks reports whether a record has to be sent: it changed since, and the receiver did not tell the change itself. source is the
// log from which the last change came, 0 for the VM's own.
func (r Receiver) Lacks(rev, source uint64) bool {
	return rev > r.rev && (source == 0 || source != r.id)
}

// Next returns the number of a new change.
func (l *Log) Next() uint64 {
	l.Rev++
	return l.Rev
}

// Query returns the header of the message to the VM that this one follows.
func (l *Log) Query() (Header, Receiver) {
	u := l.upstream
	return Header{Ledger: l.ID, Rev: l.Rev, PeerLedger: u.id, PeerRev: u.rev}, Receiver{u.id, u.acked}
}

// Reply returns the header of the reply to a message of a VM that follows this one. It is called after the records in that message
// were merged.
func (l *Log) Reply(q Header) (Header, Receiver) {
	since := uint64(0)
	if q.PeerLedger == l.ID {
		since = q.PeerRev
	}
	return Header{Ledger: l.ID, Rev: l.Rev, PeerLedger: q.Ledger, PeerRev: q.Rev}, Receiver{q.Ledger, since}
}

// Accept records the header of a reply and reports whether the reply has records: a VM of an earlier build sends none. A log that
// did not reply before gets all records with the next message.
func (l *Log) Accept(h Header) bool {
	if h.Ledger == 0 {
		return false
	}
	acked := h.PeerRev
	if h.Ledger != l.upstream.id {
		acked = 0
	}
	l.upstream = upstream{id: h.Ledger, rev: h.Rev, acked: acked}
	return true
}
