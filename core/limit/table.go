package limit

import (
	"cmp"
	"slices"

	"shallotrun/core/clock"
	"shallotrun/core/delta"
)

// What an answer says about the limit of its server.
const (
	Unknown Kind = iota // nothing: no answer came, or it was not the server's or not readable
	None                // the server has no limit
	Named               // the server names a limit
	Leaving             // the server leaves: it takes no new requests any more
)

// Kind is what an answer says about the limit of its server.
type Kind uint8

// Notice is what one answer of a server says about its limit.
type Notice struct {
	Kind Kind
	Rate float64 // requests a second from all VMs together, only if the server names a limit
}

// Server identifies one incarnation of a backend server.
type Server struct {
	_       struct{} `cbor:",toarray"`
	Service string
	ID      string
	Born    int64 // start time in Unix milliseconds, 0 if unknown
}

const (
	// maxRecords is the number of servers that are kept. The one that was heard of longest ago is dropped first.
	maxRecords = 4096
	// endedTTL is how long the end of a limit is kept, so that VMs that have not heard of it are told.
	endedTTL = clock.Minute
	// limitTTL is how long a limit is kept of which no VM hears: its server is gone.
	limitTTL = 10 * clock.Minute
	// leavingTTL is how long a server is known to leave of which no VM hears. It is longer than any server takes to leave.
	leavingTTL = clock.Hour
	// renewal is the least time between two messages that a limit is still named.
	renewal = clock.Minute
)

// Table holds the limits that servers name, and the servers that leave. Init is called before any other method.
type Table struct {
	// OnLeaving is called for a server of which another VM says that it leaves, and this one did not know; nil for none.
	OnLeaving func(Server)

	records map[Server]*record
	log     delta.Log
}

// record is what is known about the limit of a server.
type record struct {
	Notice
	at     clock.Time // time of the answer that names the limit; without a limit, time at which the request to the answer was sent
	toldAt clock.Time // time of the answer that was told to others
	rev    uint64     // of the last change
	source uint64     // log from which the last change came, 0 for this VM
}

// Init sets the number that identifies the table to others: a random one that is not 0.
func (t *Table) Init(id uint64) { t.log.ID = id }

// Record records what an answer says that came now, to a request that was sent at a time. It returns what was known before, and
// whether this differs.
func (t *Table) Record(now, sent clock.Time, s Server, n Notice) (before Notice, changed bool) {
	r := t.records[s]
	if r != nil {
		before = r.Notice
	}
	switch {
	case n.Kind == Unknown, n.Kind == None && before.Kind != Named, n.Kind != Leaving && before.Kind == Leaving:
		return before, false
	case n.Kind == None && sent <= r.at:
		return before, false // the answer may be older than the limit
	}
	if r == nil {
		r = &record{}
		t.add(s, r)
	}
	changed = r.Notice != n
	r.Notice, r.at = n, now
	if n.Kind == None {
		r.at = sent // the server may have given the answer then, and named a limit to others since
	}
	if changed || now.Sub(r.toldAt) >= renewal {
		t.changed(r, 0)
	}
	return before, changed
}

// Get returns the limit of a server, and false if it names none.
func (t *Table) Get(s Server) (rate float64, ok bool) {
	r := t.records[s]
	if r == nil || r.Kind != Named {
		return 0, false
	}
	return r.Rate, true
}

// Leaving reports whether a server has said that it leaves.
func (t *Table) Leaving(s Server) bool {
	r := t.records[s]
	return r != nil && r.Kind == Leaving
}

// Limits returns the limits in force, and drops what is too old.
func (t *Table) Limits(now clock.Time) map[Server]float64 {
	out := make(map[Server]float64, len(t.records))
	for s, r := range t.records {
		switch {
		case !r.active(now):
			delete(t.records, s)
		case r.Kind == Named:
			out[s] = r.Rate
		}
	}
	return out
}

// add adds a record. Beyond maxRecords it drops the one that was heard of longest ago.
func (t *Table) add(s Server, r *record) {
	if len(t.records) >= maxRecords {
		var oldest Server
		var at clock.Time
		for s, r := range t.records {
			if at == 0 || r.at < at {
				oldest, at = s, r.at
			}
		}
		delete(t.records, oldest)
	}
	if t.records == nil {
		t.records = make(map[Server]*record)
	}
	t.records[s] = r
}

// changed gives a record the next revision.
func (t *Table) changed(r *record, source uint64) {
	r.rev, r.source, r.toldAt = t.log.Next(), source, r.at
}

// active reports whether a record still counts.
func (r *record) active(now clock.Time) bool {
	return now.Sub(r.at) < ttl(r.Kind)
}

// ttl returns how long a record counts after the answer that it is from.
func ttl(k Kind) clock.Span {
	switch k {
	case Named:
		return limitTTL
	case Leaving:
		return leavingTTL
	}
	return endedTTL
}

// Report is what is known about the limit of one server, in a Message.
type Report struct {
	_    struct{} `cbor:",toarray"`
	Of   Server
	Kind Kind
	Rate float64    // requests a second
	Age  clock.Span // since the answer that names the limit, or since the request was sent whose answer names none
}

// Message carries what changed from one table to another.
type Message struct {
	delta.Header
	Reports []Report
}

// Query returns the message to the VM that this one follows.
func (t *Table) Query(now clock.Time) Message {
	h, to := t.log.Query()
	return Message{Header: h, Reports: t.changes(now, to)}
}

// Reply merges the query of a VM that follows this one and returns the reply.
func (t *Table) Reply(now clock.Time, q Message) Message {
	t.merge(now, q)
	h, to := t.log.Reply(q.Header)
	return Message{Header: h, Reports: t.changes(now, to)}
}

// Accept merges the reply of the VM that this one follows.
func (t *Table) Accept(now clock.Time, m Message) {
	if t.log.Accept(m.Header) {
		t.merge(now, m)
	}
}

// changes returns the records that the receiver of a message lacks, in the order of their changes.
func (t *Table) changes(now clock.Time, to delta.Receiver) (out []Report) {
	for s, r := range t.records {
		if to.Lacks(r.rev, r.source) && r.active(now) {
			out = append(out, Report{Of: s, Kind: r.Kind, Rate: r.Rate, Age: now.Sub(r.at)})
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(t.records[a.Of].rev, t.records[b.Of].rev) })
	return out
}

// merge merges the records of another table. The newer one of two answers counts; if they are equally new, the one with a limit. That a
// server leaves is never taken back.
func (t *Table) merge(now clock.Time, m Message) {
	for _, p := range m.Reports[:min(len(m.Reports), maxRecords)] {
		if p.Age < 0 || p.Kind != None && p.Kind != Leaving && (p.Kind != Named || !Valid(p.Rate)) {
			continue
		}
		at, n := now.Add(-p.Age), Notice{Kind: p.Kind}
		if n.Kind == Named {
			n.Rate = p.Rate
		}
		r := t.records[p.Of]
		leaves := n.Kind == Leaving && (r == nil || r.Kind != Leaving)
		switch {
		case r == nil && p.Age < max(ttl(n.Kind), limitTTL):
			r = &record{}
			t.add(p.Of, r)
		case r == nil:
			continue
		case leaves:
		case n.Kind != Leaving && r.Kind == Leaving:
			t.changed(r, 0) // the sender lacks what this table has
			continue
		case at < r.at, at == r.at && n.Kind != Named:
			if r.Notice != n {
				t.changed(r, 0) // the sender lacks what this table has
			}
			continue
		case n == r.Notice && at.Sub(r.toldAt) < renewal:
			r.at = at
			continue
		}
		r.Notice, r.at = n, at
		t.changed(r, m.Ledger)
		if leaves && t.OnLeaving != nil {
			t.OnLeaving(p.Of)
		}
	}
}

// Valid reports whether a rate can be a limit: a number that is not negative, and finite.
func Valid(rate float64) bool { return rate >= 0 && rate <= maxRate }

// maxRate bounds a limit, in requests a second.
const maxRate = 1e9
