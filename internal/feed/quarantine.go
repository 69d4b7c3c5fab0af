package feed

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"shallotrun/core/clock"
	"shallotrun/core/quarantine"
)

// Quarantine holds the crashes of backend servers that the VMs saw, and logs which parts of prompts are refused because of
// them. All methods are safe for concurrent use. Log is set, and Init called, before the feed runs.
type Quarantine struct {
	Log zerolog.Logger

	mu     sync.Mutex
	ledger quarantine.Ledger
	logged map[string]quarantine.Rule // rules in force that were logged, by ID
}

// Init sets the number that identifies this VM's records to others; it must differ from that of every other process.
func (q *Quarantine) Init(id uint64) { q.ledger.Init(max(id, 1)) }

// RecordCrash records a request under which a server ended.
func (q *Quarantine) RecordCrash(now clock.Time, c quarantine.Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.RecordCrash(now, c)
	q.logRules(now)
}

// RecordStart records that the answer to a request was started.
func (q *Quarantine) RecordStart(now clock.Time, service string, c quarantine.Content) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.RecordStart(now, service, c)
	q.logRules(now)
}

// Proven reports whether an answer with each of the parts was started on this VM a short time ago.
func (q *Quarantine) Proven(now clock.Time, service string, c quarantine.Content) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Proven(now, service, c)
}

// Check returns why a request must not be sent now, nil if it may be sent, and whether it is sent to try whether a rule still holds.
func (q *Quarantine) Check(now clock.Time, r quarantine.Request) (refusal *quarantine.Refusal, trial bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Check(now, r)
}

// Remembers reports whether crashes of a service's servers still count.
func (q *Quarantine) Remembers(now clock.Time, service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Remembers(now, service)
}

// Rules returns the rules in force.
func (q *Quarantine) Rules(now clock.Time) []quarantine.Rule {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.logRules(now)
	return slices.Clone(q.ledger.Rules(now))
}

// Query returns the message to the VM that this one follows.
func (q *Quarantine) Query(now clock.Time) quarantine.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Query(now)
}

// Reply merges the message of a VM that follows this one and returns the reply.
func (q *Quarantine) Reply(now clock.Time, m quarantine.Message) quarantine.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.logRules(now)
	return q.ledger.Reply(now, m)
}

// Accept merges the reply of the VM that this one follows.
func (q *Quarantine) Accept(now clock.Time, m quarantine.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Accept(now, m)
	q.logRules(now)
}

// logRules logs the rules that began or ended since the last call.
func (q *Quarantine) logRules(now clock.Time) {
	rules := q.ledger.Rules(now)
	if len(rules) == 0 && len(q.logged) == 0 {
		return
	}
	current := make(map[string]quarantine.Rule, len(rules))
	for _, r := range rules {
		key := r.ID()
		current[key] = r
		if _, ok := q.logged[key]; !ok {
			logRule(q.Log.Warn(), r).Msg("quarantine: requests with all these parts end servers and are refused")
		}
	}
	for key, r := range q.logged {
		if _, ok := current[key]; !ok {
			logRule(q.Log.Info(), r).Msg("quarantine: requests with all these parts are allowed again, or refused by another rule")
		}
	}
	q.logged = current
}

// logRule adds a rule to a line.
func logRule(l *zerolog.Event, r quarantine.Rule) *zerolog.Event {
	return l.Str("service", r.Service).Strs("parts", r.Shown()).Strs("workspaces", r.Workspaces).Int("servers", r.Servers)
}
