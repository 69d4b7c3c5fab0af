package capacity

import (
	"math"
	"math/bits"

	"shallotrun/core/clock"
)

const (
	// recentTime and loadTime are the time constants of the decay of an answer's weight in the recent sums, from which changes are
	// followed within seconds, and in those by load: a limit that was found is probed again after several of these.
	recentTime, loadTime = 1500 * clock.Millisecond, 6 * clock.Second
	// maxLog bounds the logarithm of one answer's relative time: a quarter of the usual time, or four times it.
	maxLog = 1.39
	// overdue is the logarithm of the relative time after which an open request counts: twice the usual time.
	overdue = 0.69
	// overdueWeight is the number of answers that such a request counts as: it is newer than all answers.
	overdueWeight = 2
	// maxTime is a time that no answer takes.
	maxTime = clock.Hour
	// leastCount is the number of answers, after decay, below which a server's evidence is dropped.
	leastCount = 0.05
	// usualAnswers is the number of answers over which the usual time of a class and size is averaged, minUsual the number from
	// which it is used.
	usualAnswers, minUsual = 100, 3
	// maxClasses bounds the usual times that are kept. Beyond it all are learned anew.
	maxClasses = 2000
	// nominalSlots is the scale of the load of servers that name no slots.
	nominalSlots = 16
)

// Server identifies an incarnation of a server.
type Server struct {
	ID   string
	Born int64
}

// Request is a request at a server.
type Request struct {
	Server   Server
	Class    string // answers of a class and similar size usually take the same time
	Size     int    // what the time depends on within the class, such as prompt tokens or bytes
	InFlight int    // requests in flight there at its start, over all VMs as far as known
	Slots    int    // configured slots, 0 if it names none
}

// Learner keeps the evidence of one VM's requests. The zero value is ready.
type Learner struct {
	usual   map[class]*usual
	servers map[string]*tally
	last    Token
}

// Token identifies an open request.
type Token uint64

type class struct {
	name string
	size int // binary logarithm
}

// usual is the moving average of the logarithm of the times of a class.
type usual struct{ meanLog, count float64 }

// tally is the decayed evidence of one incarnation, and its open requests.
type tally struct {
	born         int64
	updatedAt    clock.Time
	counts, logs [sums]float64 // as in Evidence
	open         map[Token]openRequest
}

type openRequest struct {
	start  clock.Time
	class  class
	bucket int
	wait   float64 // logarithm of the factor for the wait for a slot
}

// Start records the start of a request, whose answer End records. Requests to a later incarnation forget the earlier ones of the
// same server. A request whose figures make no sense gets the Token 0, which End ignores.
func (l *Learner) Start(now clock.Time, r Request) Token {
	if r.InFlight < 0 || r.Size < 0 || r.Slots < 0 {
		return 0
	}
	if l.servers == nil {
		l.usual, l.servers = make(map[class]*usual), make(map[string]*tally)
	}
	t := l.servers[r.Server.ID]
	switch {
	case t == nil || r.Server.Born > t.born:
		t = &tally{born: r.Server.Born, updatedAt: now, open: make(map[Token]openRequest)}
		l.servers[r.Server.ID] = t
	case r.Server.Born < t.born:
		return 0
	}
	used := float64(r.InFlight) / scale(r.Slots)
	b := 0
	for b < len(upperEdges) && used >= upperEdges[b] {
		b++
	}
	l.last++
	// The wait for a slot is known from the number of requests and no property of the server.
	t.open[l.last] = openRequest{now, class{r.Class, bits.Len(uint(r.Size))}, b, math.Log(max(used, 1))}
	return l.last
}

// End records the answer to a request: its time to the first event, or to the whole answer. A failed one shows nothing by being
// fast. A time that makes no sense is ignored.
func (l *Learner) End(now clock.Time, id string, k Token, took clock.Span, failed bool) {
	t := l.servers[id]
	if t == nil {
		return
	}
	o, ok := t.open[k]
	delete(t.open, k)
	if !ok || took <= 0 || took > maxTime {
		return
	}
	ratio, known := l.compare(o.class, took, failed)
	if !known || failed && ratio <= 0 {
		return
	}
	t.decay(now)
	for _, b := range []int{o.bucket, recent} {
		t.counts[b]++
		t.logs[b] += bounded(ratio - o.wait)
	}
}

// bounded limits the influence of one answer.
func bounded(ratio float64) float64 { return min(max(ratio, -maxLog), maxLog) }

// compare returns the logarithm of a time relative to the usual one, and includes that of a whole answer in the usual one. It
// returns false while the usual time is not known.
func (l *Learner) compare(k class, took clock.Span, failed bool) (float64, bool) {
	u := l.usual[k]
	if u == nil {
		if failed {
			return 0, false
		}
		if len(l.usual) >= maxClasses {
			clear(l.usual)
		}
		u = &usual{}
		l.usual[k] = u
	}
	v := math.Log(float64(took))
	ratio, known := v-u.meanLog, u.count >= minUsual
	if failed {
		return ratio, known
	}
	if known {
		v = u.meanLog + bounded(ratio)
	}
	u.count = min(u.count+1, usualAnswers)
	u.meanLog += (v - u.meanLog) / u.count
	return ratio, known
}

// Report returns the evidence of this VM's requests at a server. A request that has been open for more than twice the usual time, of which
// overdue is the logarithm, counts as answers that took as long as it has been open.
func (l *Learner) Report(now clock.Time, id string) (e Evidence) {
	t := l.servers[id]
	if t == nil {
		return e
	}
	t.decay(now)
	e.Born = t.born
	counts, logs := t.counts, t.logs
	for _, o := range t.open {
		u := l.usual[o.class]
		if u == nil || u.count < minUsual || now <= o.start {
			continue
		}
		if v := math.Log(float64(now.Sub(o.start))) - u.meanLog - o.wait; v > overdue {
			counts[recent] += overdueWeight
			logs[recent] += overdueWeight * bounded(v)
		}
	}
	for b := range sums {
		e.Counts[b] = int(math.Round(unit * counts[b]))
		e.Logs[b] = int(math.Round(unit * logs[b]))
	}
	return e
}

// Servers returns the servers with evidence, in no particular order, and drops those whose evidence has decayed.
func (l *Learner) Servers(now clock.Time) (out []string) {
	for id, t := range l.servers {
		t.decay(now)
		if len(t.open) == 0 && t.counts[0]+t.counts[1]+t.counts[2] < leastCount {
			delete(l.servers, id)
			continue
		}
		out = append(out, id)
	}
	return out
}

// decay scales the sums by the weight that they have left at now.
func (t *tally) decay(now clock.Time) {
	if now <= t.updatedAt {
		return
	}
	for b := range sums {
		f := math.Exp(-float64(now.Sub(t.updatedAt)) / float64(loadTime))
		if b == recent {
			f = math.Exp(-float64(now.Sub(t.updatedAt)) / float64(recentTime))
		}
		t.counts[b] *= f
		t.logs[b] *= f
	}
	t.updatedAt = now
}

// scale returns the number of requests that counts as the full load.
func scale(slots int) float64 {
	if slots <= 0 {
		return nominalSlots
	}
	return float64(slots)
}
