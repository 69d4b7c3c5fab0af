package standin

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["hung"] = playHung }

const (
	greyTime   = 7 * time.Second // for which one of six replicas hangs in some of its runs
	hangTime   = 5 * time.Second
	twiceBound = 400 * time.Millisecond
)

// work is one run of a request at a replica, from its first piece to its end.
type work struct {
	replica    string
	begin, end time.Time
}

// works records the runs of all requests.
type works struct {
	mu   sync.Mutex
	all  map[string][]*work // by request
	now  map[string]int     // runs in progress by replica
	grey string             // replica that hangs, "" before
	from time.Time
	hung int
}

// begin records the start of a run.
func (w *works) begin(id, replica string) *work {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := &work{replica: replica, begin: time.Now()}
	w.all[id] = append(w.all[id], v)
	w.now[replica]++
	return v
}

func (w *works) end(v *work) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v.end = time.Now()
	w.now[v.replica]--
}

// turnGrey makes the replica with the most runs hang in some of its runs.
func (w *works) turnGrey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for replica, n := range w.now {
		if w.grey == "" || n > w.now[w.grey] {
			w.grey = replica
		}
	}
	w.from = time.Now()
	return w.grey
}

// isGrey reports whether a replica hangs in some of its runs now.
func (w *works) isGrey(replica string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return replica == w.grey && time.Since(w.from) < greyTime
}

// hangs reports whether a run of the grey replica hangs: every second one.
func (w *works) hangs() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung++
	return w.hung%2 == 0
}

// running returns the requests that run at a replica.
func (w *works) running(replica string) (out []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, all := range w.all {
		if slices.ContainsFunc(all, func(v *work) bool { return v.replica == replica && v.end.IsZero() }) {
			out = append(out, id)
		}
	}
	return out
}

// playHung: a replica hangs in some of its runs and goes on with them, also when their connections are closed.
func playHung(r *run) error {
	s, err := newStore(r)
	if err != nil {
		return err
	}
	s.put("config", "main", config(7, routes()))
	w := &works{all: make(map[string][]*work), now: make(map[string]int)}
	write := func(p *replica, c net.Conn, q *request) bool {
		if q.URL.Path == "/-/report" {
			runs := w.running(p.id)
			r.note("replica %s: reports that 0 requests wait and these run: %s", p.id, strings.Join(runs, ", "))
			return p.report(c, runs...)
		}
		v := w.begin(q.id, p.id)
		r.note("replica %s: begins to run request %s at piece %d", p.id, q.id, firstEvent(q))
		ok, asked := p.beginStream(c, q), false
		for n := firstEvent(q); n <= 20; n++ {
			ok = ok && event(c, n)
			time.Sleep(100 * time.Millisecond)
			if asked || n < 5 || !w.isGrey(p.id) {
				continue
			}
			if asked = true; w.hangs() {
				r.note("replica %s: hangs in its run of request %s after piece %d", p.id, q.id, n)
				time.Sleep(hangTime)
			}
		}
		w.end(v)
		r.note("replica %s: has worked on request %s to its end", p.id, q.id)
		return ok && endStream(c)
	}
	for i := range 6 {
		if _, err := r.startReplica(s, fmt.Sprintf("i-%d", i+1), serviceLLM, zones[i%3], "", 64, write); err != nil {
			return err
		}
	}
	machines, err := r.startFleet(s, 3)
	if err != nil {
		return err
	}
	if r.trouble {
		time.AfterFunc(2*time.Second, func() { r.note("replica %s hangs in every second run for %v", w.turnGrey(), greyTime) })
	}
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := prompt("/rules/2f", "own-"+newID(), fmt.Sprint("draft ", i))
			got := send(client(machines[i%3].front), q)
			r.note("request %s: client gets %v, ended as complete: %v", q.id, got, got.whole)
		}()
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(hangTime + 2*time.Second) // the hung runs end
	return w.judge(r)
}

func (w *works) judge(r *run) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var twice []string
	for id, all := range w.all {
		for i := 1; i < len(all); i++ {
			before, after := all[i-1], all[i]
			if both := before.end.Sub(after.begin); after.replica != before.replica && both > twiceBound {
				twice = append(twice, id)
				r.note("request %s: replica %s worked on it for %d ms after it went on at %s", id, before.replica, both.Milliseconds(), after.replica)
				break
			}
		}
	}
	if len(twice) > 0 {
		return fmt.Errorf("%w: TWICE, %d requests went on at another replica while the one before worked on them: %s", errBroken, len(twice), strings.Join(twice, ", "))
	}
	return nil
}
