package ledger

import (
	"bytes"
	"encoding/json"
	"sync"

	"shallotrun/core/clock"
)

// Entry is one event that a stand-in recorded. Each stand-in documents which fields it sets for which kind.
type Entry struct {
	Seq     uint64     `json:"seq"`
	At      clock.Time `json:"at"` // by Clock.Now, which does not follow steps of the wall clock
	Kind    string     `json:"kind"`
	Request string     `json:"request,omitempty"`
	Attempt string     `json:"attempt,omitempty"`
	Model   string     `json:"model,omitempty"`
	Version string     `json:"version,omitempty"`
	Outcome string     `json:"outcome,omitempty"`
	Code    string     `json:"code,omitempty"`
	Key     string     `json:"key,omitempty"`
	Name    string     `json:"name,omitempty"`
	Number  uint64     `json:"number,omitempty"`
	Tokens  int        `json:"tokens,omitempty"`
	Prompt  int        `json:"prompt,omitempty"` // prompt tokens
	Session string     `json:"session,omitempty"`
}

// Counts is the body of GET /counts: the events by kind in total, in the busiest second of each kind, and for each second in
// which an event occurred.
type Counts struct {
	Total   map[string]int `json:"total"`
	Peak    map[string]int `json:"peak"`
	Seconds []Second       `json:"seconds"`
}

// Second holds the events by kind of one second, by Clock.Now.
type Second struct {
	At     int64          `json:"at"` // Unix seconds
	Counts map[string]int `json:"counts"`
}

// Ledger records the events of a stand-in. The zero value is ready for use.
type Ledger struct {
	Faults Faults

	clock   clock.Clock
	mu      sync.Mutex
	entries []Entry
	seconds []Second
}

// Add appends e with the next sequence number and the current time, and adds it to the counts of its kind.
func (l *Ledger) Add(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Seq, e.At = uint64(len(l.entries)+1), l.clock.Now()
	l.entries = append(l.entries, e)
	l.count(e.Kind, e.At)
}

// Count adds an event to the counts of kind without an entry in the ledger.
func (l *Ledger) Count(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(kind, l.clock.Now())
}

// Entries returns the entries after the sequence number since.
func (l *Ledger) Entries(since uint64) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since >= uint64(len(l.entries)) {
		return nil
	}
	return append([]Entry(nil), l.entries[since:]...)
}

// Counts returns the counts so far.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{Total: map[string]int{}, Peak: map[string]int{}}
	for _, s := range l.seconds {
		m := make(map[string]int, len(s.Counts))
		for k, n := range s.Counts {
			m[k] = n
			c.Total[k] += n
			c.Peak[k] = max(c.Peak[k], n)
		}
		c.Seconds = append(c.Seconds, Second{At: s.At, Counts: m})
	}
	return c
}

// ReadLog parses the body of GET /log.
func ReadLog(body []byte) ([]Entry, error) {
	var es []Entry
	dec := json.NewDecoder(bytes.NewReader(body))
	for dec.More() {
		var e Entry
		if err := dec.Decode(&e); err != nil {
			return nil, err
		}
		es = append(es, e)
	}
	return es, nil
}

func (l *Ledger) count(kind string, at clock.Time) {
	s := int64(at) / int64(clock.Second)
	if n := len(l.seconds); n == 0 || l.seconds[n-1].At != s {
		l.seconds = append(l.seconds, Second{At: s, Counts: map[string]int{}})
	}
	l.seconds[len(l.seconds)-1].Counts[kind]++
}
