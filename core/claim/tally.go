package claim

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Tally counts the votes for one token under one roster.
type Tally struct {
	Roster Roster
	Key    string
	Token  string

	votes map[string]Vote
}

// Add adds the vote of a replica.
func (t *Tally) Add(name string, v Vote) {
	if t.votes == nil {
		t.votes = map[string]Vote{}
	}
	t.votes[name] = v
}

// Permitted reports whether a quorum of replicas recorded the token, each in an incarnation that is not older than the one
// that the others report for it.
func (t *Tally) Permitted() bool {
	reps := t.Roster.Replicas(t.Key)
	if len(reps) < replicaCount {
		return len(reps) > 0 && t.allRecorded(reps...) // one of one, or two of two
	}
	return t.allRecorded(reps[0], reps[1]) || t.allRecorded(reps[0], reps[2]) || t.allRecorded(reps[1], reps[2])
}

func (t *Tally) allRecorded(names ...string) bool {
	for _, a := range names {
		v, ok := t.votes[a]
		if !ok || v.Answer != Recorded {
			return false
		}
	}
	return t.consistent(names...)
}

// consistent reports whether all these replicas voted under the tally's roster, and none in an incarnation older than one
// that another of them reports.
func (t *Tally) consistent(names ...string) bool {
	for _, a := range names {
		v, ok := t.votes[a]
		if !ok || v.Epoch != t.Roster.Epoch {
			return false
		}
		for _, b := range names {
			if v.PeerIncs[b] > t.votes[b].Inc {
				return false
			}
		}
	}
	return true
}

// NewerRoster returns a replica that has a newer roster, if there is one. The votes then have to be collected again under it.
func (t *Tally) NewerRoster() (name string, ok bool) {
	for n, v := range t.votes {
		if v.Answer == StaleClaim {
			return n, true
		}
	}
	return "", false
}

// Copying reports whether a replica could not vote because its table is incomplete. It may be able to vote soon.
func (t *Tally) Copying() bool {
	for _, v := range t.votes {
		if v.Answer == Incomplete {
			return true
		}
	}
	return false
}

// Refusal returns the reason why the call may not run. Its Ran is NotRun only if no token of the key can get a quorum any
// more; in any other case another VM may have permission. Its text, which callers see, calls the replicas holders and the
// key's failure domain its home domain.
func (t *Tally) Refusal(window clock.Span) *work.Refusal {
	tokens := map[string]int{}
	others, reps := 0, t.Roster.Replicas(t.Key)
	for _, v := range t.votes {
		switch v.Answer {
		case Recorded:
			tokens[t.Token]++
		case OtherToken:
			others++
			tokens[v.Token]++
		}
	}
	r := &work.Refusal{Code: work.CodeClaimTaken, Status: 409, Ran: work.RunUnknown,
		Detail: "another call with this key may be running or may have run"}
	if others == 0 {
		r.Code, r.Status, r.Retry = work.CodeClaimUnavailable, 503, clock.Second
		r.Detail = "not enough holders of the key's home domain answered"
	}
	if len(reps) == replicaCount && len(tokens) == replicaCount && tokens[""] == 0 && t.consistent(reps...) {
		r.Ran, r.Retry = work.NotRun, window
		r.Detail = "three calls with this key met; none of them may run within the key's lifetime"
	}
	return r
}
