package standin

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["14"] = play14
	cases["15"] = play15
}

const (
	restartTime  = 3 * time.Second
	stableWindow = 3 * time.Second
	retryGap     = 2 * time.Second
	retries      = 15
	soundCallers = 24
	soundPieces  = 20
)

// killer are requests that crash the replicas that begin to run them, and come again.
type killer struct {
	crashes bool // without it they are run like others
	is      func(*request) bool
	next    func(n int) call
	sound   func(caller, n int) call
	after   int // number of the crash from which the rule counts

	mu       sync.Mutex
	at       []time.Time
	arrivals map[string]time.Time // by client attempt: first arrival at a replica
}

const (
	deadlyBody = "the claim under which replicas crash"
	deadlyPart = "deadbeef"
)

// sharedParts are 18 parts of the prompts of a long conversation, that all its requests have.
var sharedParts = func() string {
	out := ""
	for i := range 18 {
		out += fmt.Sprintf("5c1e%04x:64,", i)
	}
	return out
}()

// longPrompt returns a request with the shared parts, further ones and one of its own.
func longPrompt(target, further, body string) call {
	q := prompt(target, "", body)
	q.headers["Prompt-Prefix"] = sharedParts + further + "own-" + q.id + ":20"
	return q
}

// play14: a part of prompts crashes the replicas that begin to answer. It stands behind 18 other parts.
func play14(r *run) error {
	return r.playKiller("a part of prompts that crashes replicas", &killer{
		crashes: r.trouble, after: 5,
		is:    func(q *request) bool { return strings.Contains(q.Header.Get("Prompt-Prefix"), deadlyPart+":") },
		next:  func(n int) call { return longPrompt("/rules/2f", deadlyPart+":30,", fmt.Sprint("claim ", n)) },
		sound: func(caller, n int) call { return longPrompt("/rules/2f", "", fmt.Sprint("sound ", caller, " ", n)) },
	})
}

// play15: a request crashes the replicas that run it, and comes again with the same path, caller and body.
func play15(r *run) error {
	return r.playKiller("a request that crashes replicas", &killer{
		crashes: r.trouble, after: 3,
		is:   func(q *request) bool { return q.body == deadlyBody },
		next: func(int) call { return prompt("/rules/claim-7", "own-"+newID(), deadlyBody) },
		sound: func(caller, n int) call {
			return prompt("/rules/2f", "own-"+newID(), fmt.Sprint("sound ", caller, " ", n))
		},
	})
}

func (r *run) playKiller(name string, k *killer) error {
	s, err := newStore(r)
	if err != nil {
		return err
	}
	s.put("config", "main", config(7, routes()))
	k.arrivals = make(map[string]time.Time)
	var starts, all, cut atomic.Int64
	var write func(p *replica, c net.Conn, q *request) bool
	write = func(p *replica, c net.Conn, q *request) bool {
		switch {
		case q.URL.Path == "/-/report":
			return p.report(c)
		case k.is(q) && k.crashes:
			r.note("replica %s: begins to run request %s, and its process crashes (crash %d)", p.id, q.id, k.crash(q))
			p.end()
			time.AfterFunc(restartTime, func() {
				s.remove("servers", p.id)
				_, _ = r.startReplica(s, fmt.Sprintf("i-new-%d", starts.Add(1)), p.service, p.zone, p.addr, p.slots, write)
			})
			return false
		}
		p.beginStream(c, q)
		for n := firstEvent(q); n <= soundPieces; n++ {
			if !event(c, n) {
				return false
			}
			time.Sleep(pieceGap)
		}
		return endStream(c)
	}
	for i := range 12 {
		if _, err := r.startReplica(s, fmt.Sprintf("i-%d", i+1), serviceLLM, zones[i%3], "", 64, write); err != nil {
			return err
		}
	}
	machines, err := r.startFleet(s, 3)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range soundCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl := client(machines[w%3].front)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				q := k.sound(w, i)
				all.Add(1)
				if got := send(cl, q); got.status != 200 || !got.whole {
					cut.Add(1)
					r.note("sound request %s: client gets %v", q.id, got)
				}
			}
		}()
	}
	time.Sleep(4 * time.Second)
	for i := range retries {
		q := k.next(i)
		got := send(client(machines[i%3].front), q)
		r.note("request %s: client sends it (%d), gets %v", q.id, i+1, got)
		time.Sleep(retryGap)
	}
	close(stop)
	wg.Wait()
	r.note("sound requests: %d, without a whole answer: %d", all.Load(), cut.Load())
	return k.judge(r, name)
}

// crash records that a request crashes a replica, and returns the number of crashes.
func (k *killer) crash(q *request) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.at = append(k.at, q.at)
	if _, ok := k.arrivals[q.id]; !ok {
		k.arrivals[q.id] = q.at
	}
	return len(k.at)
}

// judge counts the client attempts that reach a replica for the first time after the stable window that follows the crash from which the rule
// counts.
func (k *killer) judge(r *run, name string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	late := 0
	for _, at := range k.arrivals {
		if len(k.at) >= k.after && at.Sub(k.at[k.after-1]) > stableWindow {
			late++
		}
	}
	r.note("crashes: %d; requests that reached replicas later than %v after crash %d: %d", len(k.at), stableWindow, k.after, late)
	if late > 3 {
		return fmt.Errorf("%w: BUDGET, %s: %d requests reached replicas late, %d crashes in all", errBroken, name, late, len(k.at))
	}
	return nil
}
