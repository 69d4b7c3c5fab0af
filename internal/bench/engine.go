package bench

import (
	"container/list"
	"fmt"
	"slices"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// The service model. With 8 running requests the token interval is 26 ms, the target of the large size.
const (
	prefillCost  = 200               // microseconds for each prompt token that is not cached
	prefillChunk = 256               // prompt tokens that are not interrupted for more urgent work
	prefillLoad  = 0.1               // part by which a full engine prefills more slowly than an idle one
	sharedPrefix = 300               // tokens of a prefix that several requests share
	tokenBase    = 20_000            // microseconds between tokens with nothing else running
	tokenLoad    = 750               // microseconds more for each running request
	silence      = 400 * millisecond // without progress, then the router gives an attempt up
	roundTrip    = 3 * millisecond
)

// job is one request in the service model.
type job struct {
	id      string
	rank    work.Rank
	tenant  string
	session string
	prefix  uint64 // shared by several requests, 0 for none
	prompt  int
	out     int
	guess   int // output tokens that the router expects
	arrived micros
	started micros // got a slot
	first   micros // first token
	ended   micros
	failed  bool
	refused bool
	gone    bool   // cancelled, or on an engine that went down
	token   func() // at the first token, nil for nothing
	done    func(*job)

	left int // prompt tokens still to prefill
}

// ttft returns the milliseconds from arrival to the first token.
func (j *job) ttft() float64 { return float64(j.first-j.arrived) / 1000 }

// key returns what the engine caches the prompt's beginning under, "" for nothing.
func (j *job) key() string {
	if j.session == "" && j.prefix != 0 {
		return fmt.Sprint("prefix-", j.prefix)
	}
	return j.session
}

// engine is one replica.
type engine struct {
	sim     *sim
	name    string
	domain  string
	slots   int
	slow    float64 // factor on all times, 0 means 1
	fail    func(*job) bool
	running int
	waiting []*job // for a slot
	prefill []*job // with a slot, before the first token
	active  []*job // with a slot
	busy    bool
	cache   cache
	begin   func(*job) // when a job gets a slot, nil for nothing
	over    int        // jobs that found no slot
	limit   int        // most that may wait inside the engine, 0 means no limit
	down    bool
	report  work.Load
}

// submit gives the engine a job, which waits inside the engine when all slots are taken.
// An engine that is down says nothing; the router gives up after the time without progress that it allows.
func (e *engine) submit(j *job) {
	if e.down {
		e.sim.after(silence, func() { e.refuse(j, true) })
		return
	}
	if e.limit > 0 && len(e.waiting) >= e.limit {
		e.sim.after(roundTrip, func() { e.refuse(j, false) })
		return
	}
	if e.running >= e.slots {
		e.over++
		e.waiting = insert(e.waiting, j)
		return
	}
	e.start(j)
}

func (e *engine) refuse(j *job, failed bool) {
	j.failed, j.refused, j.ended = failed, !failed, e.sim.now
	j.done(j)
}

// cancel stops a job. It keeps its slot until its prefill chunk or token is through, which is short enough to ignore.
func (e *engine) cancel(j *job) {
	if j.gone || j.ended > 0 {
		return
	}
	j.gone = true
	if j.started == 0 {
		e.waiting = without(e.waiting, j)
		return
	}
	e.drop(j)
	e.running--
	e.next()
}

// setDown stops the engine, which loses its requests and its cache, or starts it again.
func (e *engine) setDown(down bool) {
	e.down = down
	if !down {
		return
	}
	e.cache = cache{limit: e.cache.limit}
	for _, j := range append(e.waiting, e.active...) {
		j.gone = true
		e.sim.after(silence, func() { e.refuse(j, true) })
	}
	e.waiting, e.active, e.prefill, e.running = nil, nil, nil, 0
}

func (e *engine) start(j *job) {
	if e.begin != nil {
		e.begin(j)
	}
	e.running++
	e.active = append(e.active, j)
	j.started = e.sim.now
	j.left = j.prompt
	if key := j.key(); key != "" {
		j.left -= min(e.cache.get(key), j.prompt)
	}
	e.prefill = insert(e.prefill, j)
	if !e.busy {
		e.chunk()
	}
}

// chunk prefills a part of the most urgent prompt.
func (e *engine) chunk() {
	if len(e.prefill) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	j := e.prefill[0]
	n := min(j.left, prefillChunk)
	d := float64(max(n, 16)) * prefillCost * (1 + prefillLoad*float64(e.running)/float64(e.slots))
	e.sim.after(e.scaled(d), func() {
		j.left -= n
		if j.left <= 0 && !j.gone {
			e.prefill = without(e.prefill, j)
			e.decode(j)
		}
		e.chunk()
	})
}

// drop forgets a job that has a slot.
func (e *engine) drop(j *job) {
	e.prefill = without(e.prefill, j)
	e.active = without(e.active, j)
}

func without(js []*job, j *job) []*job {
	if i := slices.Index(js, j); i >= 0 {
		return slices.Delete(js, i, i+1)
	}
	return js
}

func (e *engine) decode(j *job) {
	j.first = e.sim.now
	if j.token != nil {
		j.token()
	}
	if e.fail != nil && e.fail(j) {
		j.failed = true
		e.finish(j)
		return
	}
	d := float64(j.out) * (tokenBase + tokenLoad*float64(e.running))
	e.sim.after(e.scaled(d), func() { e.finish(j) })
}

func (e *engine) finish(j *job) {
	if j.gone {
		return
	}
	j.ended = e.sim.now
	e.running--
	e.drop(j)
	if key := j.key(); key != "" && !j.failed {
		n := sharedPrefix
		if j.session != "" {
			n = j.prompt + j.out
		}
		e.cache.put(key, n)
	}
	e.next()
	j.done(j)
}

// next starts the jobs that wait inside the engine.
func (e *engine) next() {
	for len(e.waiting) > 0 && e.running < e.slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(j)
	}
}

func (e *engine) scaled(d float64) micros {
	if e.slow > 0 {
		d *= e.slow
	}
	return micros(d)
}

// crowd orders engines by the requests that have no first token yet, then by the running ones. The router knows
// both for its own requests.
func (e *engine) crowd() int { return len(e.prefill)*1000 + e.running }

// load takes the figures that the engine reports about itself.
func (e *engine) load(now clock.Time) {
	e.report = work.Load{Running: e.running, Waiting: len(e.waiting), Slots: e.slots, At: now}
}

// insert keeps jobs in order of rank, then of arrival at the engine.
func insert(js []*job, j *job) []*job {
	i := len(js)
	for i > 0 && js[i-1].rank > j.rank {
		i--
	}
	js = append(js, nil)
	copy(js[i+1:], js[i:])
	js[i] = j
	return js
}

// cache is a prefix cache of a limited number of tokens, least recently used session dropped first.
type cache struct {
	limit int
	size  int
	all   map[string]*list.Element
	order list.List
}

type cached struct {
	session string
	tokens  int
}

func (c *cache) get(session string) int {
	e := c.all[session]
	if e == nil {
		return 0
	}
	c.order.MoveToFront(e)
	return e.Value.(cached).tokens
}

func (c *cache) put(session string, tokens int) {
	if c.all == nil {
		c.all = make(map[string]*list.Element)
	}
	if e := c.all[session]; e != nil {
		c.size -= e.Value.(cached).tokens
		c.order.Remove(e)
	}
	c.all[session] = c.order.PushFront(cached{session, tokens})
	c.size += tokens
	for c.size > c.limit && c.order.Len() > 0 {
		last := c.order.Back()
		c.order.Remove(last)
		c.size -= last.Value.(cached).tokens
		delete(c.all, last.Value.(cached).session)
	}
}

// engines returns the replicas of a user, spread over its failure domains.
func (u user) engines(s *sim) []*engine {
	var es []*engine
	for i := range u.replicas {
		d := u.domains[i%len(u.domains)]
		es = append(es, &engine{sim: s, name: fmt.Sprintf("%s-%d", d, i), domain: d, slots: slotsEach, cache: cache{limit: cacheTokens}})
	}
	return es
}
