package follow

import (
	"context"
	"slices"

	"shallotrun/core/clock"
	"shallotrun/internal/feed"
	"shallotrun/io/peer"
)

const (
	// askSpan is how long a VM reads the store each time it is asked to. A VM that is asked in vain is replaced by another one after it.
	askSpan = 1500 * clock.Millisecond
	// untriedTime is how long VMs that were not asked yet come first after another one was asked in vain. Each queries this VM within it.
	untriedTime = 2 * pollInterval
	// readerTimeout is how long after its last query a follower that reads the store is still queried.
	readerTimeout = clock.Second
	// firstAnswerTime is how long a VM that begins to read the store waits for its first answers.
	firstAnswerTime = clock.Second
	// sourceIdle is how long a connection stays open to a VM that is queried in turn with others.
	sourceIdle = 3 * clock.Second
)

// asking is the state of a VM that others follow while the store does not answer it: it asks one of the VMs that follow it to read the
// store, one after the other until one gets answers.
type asking struct {
	name     string          // VM that was asked last, "" for none
	until    clock.Time      // end of the time for which it was asked
	tried    map[string]bool // VMs that were asked since the store fell silent
	reader   feed.Member     // follower that gets answers of the store
	readerAt clock.Time      // its last query
}

// ask reports whether the querying VM should read the store for this one. silent means that the store has not answered this VM for too
// long; answer is the time since the querying VM's last answer, 0 if it does not read the store.
func (a *asking) ask(now clock.Time, m feed.Member, answer clock.Span, silent bool) bool {
	if !silent {
		a.name, a.until, a.tried = "", 0, nil
		return false
	}
	reads := answer > 0 && answer <= minSilence
	if reads {
		a.reader, a.readerAt = m, now
	}
	switch {
	case m.Name == a.name && reads:
		a.until = now.Add(askSpan)
		return true
	case now < a.until:
		return m.Name == a.name
	case a.tried[m.Name] && now < a.until.Add(untriedTime):
		return false
	case a.tried[m.Name]:
		a.tried = nil // all that query this VM were asked
	}
	if a.tried == nil {
		a.tried = make(map[string]bool)
	}
	a.tried[m.Name] = true
	a.name, a.until = m.Name, now.Add(askSpan)
	return true
}

// shouldAsk reports whether the querying VM, a follower of this failure domain, should read the store for this one. Candidates are not
// asked: they read the store themselves if it is silent.
func (f *Follower) shouldAsk(q feed.Query) bool {
	silent := f.turnedAway()
	if q.VM.Domain != f.Self.Domain || q.VM.Name == "" {
		return false
	}
	if _, ok := candidateRank(q.VM, f.Feed.Members()); silent && ok {
		return false
	}
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.asking.name
	ask := f.asking.ask(now, q.VM, q.SinceStoreAnswer, silent && now >= f.relayedUntil)
	if ask && f.asking.name != before {
		f.Log.Info().Str("vm", q.VM.Name).Str("before", before).Msg("follow: the store does not answer; another VM is asked to read it")
	}
	return ask
}

// turnedAway reports whether this VM reads the store itself and has been without an answer from it for too long.
func (f *Follower) turnedAway() bool {
	f.mu.Lock()
	reads := f.upstream == "" && f.Clock.Now().Sub(f.followers.since) >= firstAnswerTime
	f.mu.Unlock()
	return reads && f.Feed.SinceOwnAnswer() > minSilence
}

// readStore makes this VM read the store for the VM that it follows, for askSpan.
func (f *Follower) readStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readUntil = f.Clock.Now().Add(askSpan)
	close(f.delegationChanged)
	f.delegationChanged = make(chan struct{})
}

// reads reports whether this VM reads the store for another one.
func (f *Follower) reads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock.Now() < f.readUntil
}

// sinceStoreAnswer returns the time since the store's last answer if this VM reads the store for another one, 0 otherwise.
func (f *Follower) sinceStoreAnswer() clock.Span {
	if !f.reads() {
		return 0
	}
	return max(f.Feed.SinceOwnAnswer(), 1)
}

// fetchElsewhere fetches objects of the store from other VMs while it does not answer this one: from the follower that reads it for this VM,
// and from one of the other candidates, in turn.
func (f *Follower) fetchElsewhere(ctx context.Context) {
	var sources []feed.Member
	if f.turnedAway() {
		sources = f.otherSources()
	}
	f.connectOnly(sources)
	for _, m := range sources {
		if f.transport.Reachable(m.Name) {
			f.fetchObjects(ctx, m)
		}
	}
}

// otherSources returns the VMs from which objects are fetched now. A candidate that had recent answers of the store is kept.
func (f *Follower) otherSources() (out []feed.Member) {
	var candidates []feed.Member
	for _, m := range f.Feed.Members() {
		if m.Domain == f.Self.Domain && m.Name != f.Self.Name {
			candidates = append(candidates, m)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asking.name != "" && f.Clock.Now().Sub(f.asking.readerAt) < readerTimeout {
		out = append(out, f.asking.reader)
	}
	if len(candidates) == 0 {
		return out
	}
	sortByPreference(candidates)
	i := slices.IndexFunc(candidates, func(m feed.Member) bool { return m.Name == f.source })
	if i < 0 {
		f.nextAlternative++
		i = f.nextAlternative % len(candidates)
	}
	return append(out, candidates[i])
}

// connectOnly connects to the sources, and ends the connections to earlier ones.
func (f *Follower) connectOnly(sources []feed.Member) {
	f.mu.Lock()
	earlier := f.sources
	f.sources = make(map[string]clock.Time)
	now := f.Clock.Now()
	for _, m := range sources {
		f.sources[m.Name] = now.Add(sourceIdle)
	}
	var unused []string
	for name, until := range earlier {
		switch {
		case f.sources[name] != 0:
		case now < until && len(sources) > 0:
			f.sources[name] = until
		case name != f.upstream:
			unused = append(unused, name)
		}
	}
	f.mu.Unlock()
	for _, name := range unused {
		f.transport.Disconnect(name)
	}
	for _, m := range sources {
		f.transport.Connect(m.Name, m.Addr)
	}
}

// fetchObjects fetches objects of the store from another VM, which this one does not follow.
func (f *Follower) fetchObjects(ctx context.Context, m feed.Member) {
	bounded, cancel := context.WithTimeout(ctx, pollTimeout.Std())
	defer cancel()
	f.setSource("")
	sent := f.Clock.Boot()
	var d feed.Delta
	if err := f.transport.Request(bounded, m.Name, peer.KindFeed, f.Feed.ObjectsQuery(), &d); err != nil {
		return // another one is next
	}
	if err := f.Feed.ApplyObjects(sent, m.Name, d); err != nil {
		f.Log.Info().Err(err).Str("vm", m.Name).Msg("follow: the objects of a VM that is not followed cannot be used")
		return
	}
	if d.SinceStoreAnswer > minSilence {
		return
	}
	f.setSource(m.Name)
	if isBefore(m, f.Self, f.Feed.Members()) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.relayedUntil = f.Clock.Now().Add(askSpan)
	}
}

// setSource records the VM from which objects are fetched next, "" for another one each time.
func (f *Follower) setSource(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source = name
}

// isBefore reports whether a candidate is ordered before another VM of its failure domain. The first one asks others to read the store for
// all.
func isBefore(m, other feed.Member, all []feed.Member) bool {
	rank, ok := candidateRank(m, all)
	otherRank, otherOK := candidateRank(other, all)
	return ok && (!otherOK || rank < otherRank)
}
