package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"shallotrun/core/claim"
	"shallotrun/core/clock"
	"shallotrun/core/member"
	"shallotrun/core/work"
	"shallotrun/io/peer"
	"shallotrun/io/platform"
)

const (
	kindClaims   = "claims"
	kindRosters  = "holders"
	voteTimeout  = 300 * time.Millisecond
	claimTimeout = 500 * time.Millisecond
	// storeRetryInterval is how long claims don't call the platform's store after it did not answer: each call with an
	// idempotency key would wait for the timeout.
	storeRetryInterval = clock.Second
	// pullWait is the delay before the next round of votes while replicas copy tables after a change of the roster.
	pullWait      = 300 * time.Millisecond
	maxVoteRounds = 5
	// rosterInterval is the least time between changes of a roster, because each change makes the domain's VMs copy tables.
	rosterInterval = 2 * clock.Second
	maxDeferred    = 10000
)

// claims is this VM's replica of the claims of idempotency keys, and what it has read of the rosters.
type claims struct {
	mu            sync.Mutex // guards the fields below
	replica       claim.Replica
	rosters       map[string]claim.Roster // by domain
	rosterVersion uint64                  // of the own domain's roster in the platform's store
	rosterRead    clock.Time              // time of the last read of it
	storeFailed   clock.Time              // time of the last call that the store did not answer
	deferred      []deferred
	confirmed     map[string]confirmation
}

// confirmation is the epoch of the roster that a VM of the own domain confirmed, with the VM's incarnation.
type confirmation struct{ inc, epoch uint64 }

// deferred is a permitted claim that is not yet in the platform's store.
type deferred struct {
	id, token string
	at        clock.Time
}

// claimObject is the value of a claim's object in the platform's store.
type claimObject struct {
	Token string     `json:"token"`
	At    clock.Time `json:"at"` // wall clock
}

// Claim returns nil if this request is the first with the idempotency key within the key's lifetime, and a *work.Refusal
// otherwise.
func (f *Fleet) Claim(ctx context.Context, workspace, key, request string) error {
	began, wall := f.Clock.Now(), f.Clock.Wall()
	c := f.Store.Current()
	if c == nil {
		return &work.Refusal{Code: work.CodeNoDocument, Status: 503, Ran: work.RunUnknown, Retry: clock.Second,
			Detail: "no document is in force, so that the key's home domain is not known"}
	}
	id, domain := claim.ID(workspace, key), claim.KeyDomain(key, c.Document.Domains)
	token := f.source() + "/" + request
	t := f.collectVotes(ctx, domain, id, token)
	if !t.Permitted() {
		return t.Refusal(f.Window)
	}
	if r := f.storeClaim(ctx, id, token); r != nil {
		return r
	}
	// The replicas may have expired a claim that took a large part of the key's lifetime.
	if limit := f.Window / 4; f.Clock.Now().Sub(began) > limit || f.Clock.Wall().Sub(wall) > limit {
		return &work.Refusal{Code: work.CodeClaimUnavailable, Status: 503, Ran: work.RunUnknown, Detail: "the claim took too long"}
	}
	return nil
}

// collectVotes asks the key's three replicas for their votes. It repeats the round, up to maxVoteRounds in all, while the
// rosters of the two sides differ or a replica copies its table.
func (f *Fleet) collectVotes(ctx context.Context, domain, id, token string) *claim.Tally {
	var t *claim.Tally
	for range maxVoteRounds {
		t = &claim.Tally{Roster: f.roster(ctx, domain), Key: id, Token: token}
		behind := f.voteRound(ctx, t)
		name, newer := t.NewerRoster()
		copying := t.Copying()
		if t.Permitted() || !newer && !behind && !copying || ctx.Err() != nil {
			return t
		}
		switch {
		case newer:
			f.fetchRoster(ctx, name, domain)
		case copying:
			select {
			case <-ctx.Done():
			case <-time.After(pullWait):
			}
		}
	}
	return t
}

// voteRound collects the votes until the call is permitted or every replica answered. It reports whether a replica with an
// older roster has received the newer one.
func (f *Fleet) voteRound(ctx context.Context, t *claim.Tally) bool {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	type answer struct {
		name string
		vote claim.Vote
		err  error
	}
	replicas := t.Roster.Replicas(t.Key)
	got := make(chan answer, len(replicas))
	a := claim.VoteRequest{Key: t.Key, Domain: t.Roster.Domain, Epoch: t.Roster.Epoch, Token: t.Token}
	for _, n := range replicas {
		go func() {
			if n == f.Name {
				got <- answer{name: n, vote: f.vote(a)}
				return
			}
			x := answer{name: n, err: peer.ErrNotConnected}
			if f.connect(ctx, n) {
				x.err = f.transport.Request(ctx, n, peer.KindVoteRequest, a, &x.vote)
			}
			got <- x
		}()
	}
	behind := false
	for range replicas {
		x := <-got
		if x.err != nil {
			f.Log.Debug().Err(x.err).Str("peer", x.name).Msg("claim: no vote")
			continue
		}
		t.Add(x.name, x.vote)
		if x.vote.Answer == claim.StaleReplica {
			var r claim.Roster
			behind = f.transport.Request(ctx, x.name, peer.KindRoster, t.Roster, &r) == nil && r.Epoch >= t.Roster.Epoch || behind
		}
		if t.Permitted() {
			break
		}
	}
	return behind
}

func (f *Fleet) vote(a claim.VoteRequest) claim.Vote {
	f.claims.mu.Lock()
	defer f.claims.mu.Unlock()
	return f.claims.replica.Vote(f.Clock.Now(), a)
}

func (f *Fleet) servePull(from string, inc uint64, p claim.Pull) claim.Table {
	f.claims.mu.Lock()
	defer f.claims.mu.Unlock()
	return f.claims.replica.Pull(f.Clock.Now(), from, inc, p)
}

// adoptRoster stores a roster if its epoch is newer, and returns the latest roster of its domain.
func (f *Fleet) adoptRoster(r claim.Roster) claim.Roster {
	c := &f.claims
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Epoch > c.rosters[r.Domain].Epoch {
		c.rosters[r.Domain] = r
		if r.Domain == f.Domain {
			c.replica.Adopt(f.Clock.Now(), r)
		}
	}
	return c.rosters[r.Domain]
}

// roster returns the latest known roster of a domain. If there is none, it reads the roster from the platform's store, or else
// from a VM of the domain.
func (f *Fleet) roster(ctx context.Context, domain string) claim.Roster {
	if r := f.adoptRoster(claim.Roster{Domain: domain}); r.Epoch > 0 {
		return r
	}
	r, _, err := f.readRoster(ctx, domain)
	if err == nil {
		return f.adoptRoster(r)
	}
	for _, m := range f.Members(domain) {
		if f.transport.Reachable(m.Name) {
			f.fetchRoster(ctx, m.Name, domain)
			break
		}
	}
	return f.adoptRoster(claim.Roster{Domain: domain})
}

func (f *Fleet) fetchRoster(ctx context.Context, name, domain string) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var r claim.Roster
	if err := f.transport.Request(ctx, name, peer.KindRoster, claim.Roster{Domain: domain}, &r); err != nil {
		f.Log.Debug().Err(err).Str("peer", name).Msg("claim: no roster")
		return
	}
	if r.Domain == domain {
		f.adoptRoster(r)
	}
}

func (f *Fleet) readRoster(ctx context.Context, domain string) (claim.Roster, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var r claim.Roster
	o, err := f.Objects.Get(ctx, kindRosters, domain)
	if err == nil {
		err = json.Unmarshal(o.Value, &r)
	}
	return r, o.Version, err
}

// storeClaim creates the claim's object in the platform's store. If the store does not answer, the votes are sufficient and the
// object is created later.
func (f *Fleet) storeClaim(ctx context.Context, id, token string) *work.Refusal {
	c := &f.claims
	now := f.Clock.Now()
	x := deferred{id: id, token: token, at: f.Clock.Wall()}
	c.mu.Lock()
	down := c.storeFailed != 0 && now.Sub(c.storeFailed) < storeRetryInterval
	c.mu.Unlock()
	if !down {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		owned, err := f.createClaim(ctx, x)
		switch {
		case err == nil && owned:
			return nil
		case err == nil:
			return &work.Refusal{Code: work.CodeClaimTaken, Status: 409, Ran: work.RunUnknown, Detail: "the key was used before"}
		}
		f.Log.Warn().Err(err).Msg("claim: the platform's store did not answer; the votes are sufficient")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !down {
		c.storeFailed = f.Clock.Now()
	}
	if len(c.deferred) < maxDeferred {
		c.deferred = append(c.deferred, x)
	}
	return nil
}

// createClaim creates the object of a claim and reports whether it belongs to this claim. If the object exists, it is compared
// with the claim's token. An error means that the owner is unknown.
func (f *Fleet) createClaim(ctx context.Context, x deferred) (owned bool, err error) {
	value, err := json.Marshal(claimObject{Token: x.token, At: x.at})
	if err != nil {
		return false, err
	}
	if _, err = f.Objects.Create(ctx, kindClaims, x.id, value); err == nil {
		return true, nil
	}
	var conflict *platform.Conflict
	var lost *platform.Unavailable
	if !errors.As(err, &conflict) && !(errors.As(err, &lost) && lost.MaybeSent) {
		return false, err
	}
	o, e := f.Objects.Get(ctx, kindClaims, x.id)
	if e != nil {
		return false, e
	}
	var r claimObject
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return false, err
	}
	if r.Token == x.token {
		return true, nil
	}
	if x.at.Sub(r.At) <= f.Window {
		return false, nil
	}
	// The key's lifetime is over, so that the key can be claimed again.
	_, err = f.Objects.Update(ctx, kindClaims, x.id, o.Version, value)
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// tickTables copies the tables of other replicas, which a replica needs before it votes after a change of the roster.
func (f *Fleet) tickTables(ctx context.Context) {
	f.claims.mu.Lock()
	pulls := f.claims.replica.Tick(f.Clock.Now())
	f.claims.mu.Unlock()
	for _, p := range pulls {
		go f.pull(ctx, p)
	}
}

// tickClaims writes deferred claims and maintains the domain's roster.
func (f *Fleet) tickClaims(ctx context.Context) {
	c := &f.claims
	now := f.Clock.Now()
	c.mu.Lock()
	pending := c.deferred
	if c.storeFailed != 0 && now.Sub(c.storeFailed) < storeRetryInterval {
		pending = nil
	} else {
		c.deferred = nil
	}
	c.mu.Unlock()
	if len(pending) > 0 {
		go f.writeDeferred(ctx, pending)
	}
	if f.maintainsRoster(now) {
		f.maintainRoster(ctx, now)
	}
}

func (f *Fleet) pull(ctx context.Context, p claim.SendPull) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var t claim.Table
	if !f.connect(ctx, p.To) {
		return
	}
	if err := f.transport.Request(ctx, p.To, peer.KindPull, p.Pull, &t); err != nil {
		f.Log.Debug().Err(err).Msg("claim: table not copied; retrying")
		return
	}
	if !t.Ready {
		if t.Epoch > p.Pull.Epoch {
			f.fetchRoster(ctx, p.To, f.Domain)
		}
		return
	}
	f.claims.mu.Lock()
	defer f.claims.mu.Unlock()
	f.claims.replica.Merge(f.Clock.Now(), p.To, t)
}

func (f *Fleet) writeDeferred(ctx context.Context, pending []deferred) {
	for i, x := range pending {
		if f.Clock.Wall().Sub(x.at) > f.Window {
			continue
		}
		try, cancel := context.WithTimeout(ctx, claimTimeout)
		_, err := f.createClaim(try, x)
		cancel()
		if err != nil {
			f.claims.mu.Lock()
			f.claims.storeFailed = f.Clock.Now()
			f.claims.deferred = append(f.claims.deferred, pending[i:]...)
			f.claims.mu.Unlock()
			return
		}
	}
}

// maintainsRoster reports whether this VM maintains the roster of its domain, as the first of the domain's serving VMs. Two VMs
// may each see themselves as the first; the conditional update then accepts one change only.
func (f *Fleet) maintainsRoster(now clock.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := f.serving(now)
	return len(names) > 0 && names[0] == f.Name
}

// maintainRoster adds new VMs to the roster and removes gone VMs that are no longer in the VM list, because a removed VM must not
// vote any more. A VM that is in the list stays in the roster while it is unreachable, because it may still vote.
func (f *Fleet) maintainRoster(ctx context.Context, now clock.Time) {
	c := &f.claims
	c.mu.Lock()
	r, version, due := c.rosters[f.Domain], c.rosterVersion, now.Sub(c.rosterRead) >= rosterInterval || c.rosterRead == 0
	c.mu.Unlock()
	f.sendRoster(ctx, r)
	incs := f.eligible(now, r)
	if r.Epoch > 0 && version > 0 && slices.Equal(r.Next(incs).Names, r.Names) || !due {
		return
	}
	stored, version, err := f.readRoster(ctx, f.Domain)
	absent := errors.Is(err, platform.ErrNotFound)
	c.mu.Lock()
	c.rosterRead, c.rosterVersion = now, version
	c.mu.Unlock()
	switch {
	case absent && r.Epoch == 0:
		stored = claim.Roster{Domain: f.Domain}
		incs = map[string]uint64{f.Name: f.inc}
	case err != nil:
		f.Log.Debug().Err(err).Msg("claim: roster not read")
		return
	}
	if stored.Epoch > r.Epoch {
		f.adoptRoster(stored)
		incs = f.eligible(now, stored)
	}
	next := stored.Next(incs)
	if slices.Equal(next.Names, stored.Names) {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	if absent {
		version, err = f.Objects.Create(ctx, kindRosters, f.Domain, value)
	} else {
		version, err = f.Objects.Update(ctx, kindRosters, f.Domain, version, value)
	}
	if err != nil {
		f.Log.Info().Err(err).Msg("claim: roster not written; reading it again")
		return
	}
	c.mu.Lock()
	c.rosterVersion = version
	c.mu.Unlock()
	f.adoptRoster(next)
	f.Log.Info().Uint64("epoch", next.Epoch).Strs("names", next.Names).Msg("claim: roster changed")
	f.sendRoster(ctx, next)
}

// eligible returns the names of the VMs of the next roster, with their incarnations.
func (f *Fleet) eligible(now clock.Time, r claim.Roster) map[string]uint64 {
	listed := map[string]bool{}
	for _, v := range f.Servers.Entries() {
		listed[v.Name] = true
	}
	incs := map[string]uint64{f.Name: f.inc}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members.Members(now, f.Domain) {
		if m.State == member.Serving {
			incs[m.Name] = m.Inc
		}
	}
	for _, n := range r.Names {
		if _, ok := incs[n]; ok || len(listed) > 0 && !listed[n] && f.members.State(now, n) == member.Gone {
			continue
		}
		incs[n] = r.Incs[n]
	}
	return incs
}

// sendRoster sends the roster to the VMs of the domain that have not confirmed it.
func (f *Fleet) sendRoster(ctx context.Context, r claim.Roster) {
	if r.Epoch == 0 {
		return
	}
	for _, m := range f.Members(f.Domain) {
		f.claims.mu.Lock()
		t := f.claims.confirmed[m.Name]
		f.claims.mu.Unlock()
		if t.epoch >= r.Epoch && t.inc == m.Inc || !f.transport.Reachable(m.Name) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, voteTimeout)
			defer cancel()
			var got claim.Roster
			if err := f.transport.Request(ctx, m.Name, peer.KindRoster, r, &got); err != nil {
				return // the next tick repeats it
			}
			f.claims.mu.Lock()
			defer f.claims.mu.Unlock()
			f.claims.confirmed[m.Name] = confirmation{inc: m.Inc, epoch: got.Epoch}
		}()
	}
}
