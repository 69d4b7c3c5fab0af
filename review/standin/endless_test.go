package review

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["endless"] = endlessBody }

const (
	endlessEvents   = 8
	endlessRequests = 600
	endlessClients  = 6
	// spoiltOf is how many answers of a replica in trouble there are for each one that it spoils: under 3 in 100.
	spoiltOf = 34
)

// endlessBody lets two of four replicas spoil some of their streams: after the first event, bytes that are no answer come without end,
// until the caller closes. Each stream must reach its client without a gap.
func endlessBody(w *world) (breaches []string) {
	w.startStore(config(resumable(route("lohu930", "streaming", "wordsmith", 3, 20*time.Second, 2*time.Second))))
	var answers atomic.Int64
	for n := range 4 {
		w.startReplica(n, "wordsmith", 64, func(v *replica, c net.Conn, q *request) {
			spoils := w.trouble && n < 2 && answers.Add(1)%spoiltOf == 0
			w.log("replica %s runs %s %s, after event %q, spoils its answer: %v", v.id, q.id, q.subject(), q.Header.Get("Last-Event-Id"), spoils)
			if !spoils {
				v.stream(c, q, endlessEvents, 3*time.Millisecond)
				return
			}
			noise := strings.Repeat("pool 3: page 0x7f31a2e8 returned to the free list\n\n", 80)
			_, err := io.WriteString(c, v.streamHead(q)+chunk(eventText(q.subject(), q.firstEvent())+noise))
			written := 0
			for began := time.Now(); err == nil && time.Since(began) < 30*time.Second; written += len(noise) {
				_, err = io.WriteString(c, chunk(noise))
			}
			_ = c.Close()
			w.log("replica %s wrote %d bytes after the first event of %s until the caller closed", v.id, written, q.id)
		})
	}
	w.startVMs(3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var next atomic.Int64
	for range endlessClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := next.Add(1); n <= endlessRequests; n = next.Add(1) {
				if why := w.checkStream(int(n)); why != "" {
					mu.Lock()
					breaches = append(breaches, why)
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	return breaches
}

// checkStream sends one request and returns what breaks the rule about the order of events, "" for nothing.
func (w *world) checkStream(n int) string {
	path := fmt.Sprintf("/lohu930/%x", n)
	r := w.send(call{
		vm: w.vms[n%len(w.vms)], method: "POST", path: path, key: clientKey, body: "draft a lot rule", deadline: 20 * time.Second,
		headers: []string{"Model: ravo486f6a", "Token-Counts: 800,60", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:120,91bd3f06:80,%08x:600", n)},
	})
	w.log("client sent %s %s to %s: %s", r.requestID, path, w.vms[n%len(w.vms)].name, r)
	if r.status != 200 {
		return ""
	}
	want := ""
	for i := range endlessEvents {
		want += eventText(path, i)
	}
	switch {
	case r.whole && r.body != want:
		return fmt.Sprintf("the stream of %s ended as complete, and differs from its events: %.120q", r.requestID, r.body)
	case !r.whole && !strings.HasPrefix(want, r.body):
		return fmt.Sprintf("the stream of %s was broken off, and is no beginning of its events: %.120q", r.requestID, r.body)
	}
	return ""
}
