package review

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["lockout"] = lockout }

const (
	crashingPart = "e4402b7d" // the part of prompts that crashes replicas
	firstPart    = "5c1e07a2" // the first part, which all prompts of the route share
	firstToken   = 2 * time.Second
	replicaDown  = 2500 * time.Millisecond
	burstSize    = 6
	burstGap     = 4 * time.Second
	baseline     = 5  // bursts of sound requests before the first request with the part
	afterwards   = 12 // bursts with and after it
	stableWindow = 3 * time.Second
	enough       = 20 // requests in each of the two spans that are compared
)

// lockout lets a part of prompts crash each replica that begins to write an answer on it, while sound requests that share the first part
// wait for their first token. Replicas send the head of an answer as they admit a request. The sound requests must go on to be served.
func lockout(w *world) (breaches []string) {
	w.startStore(config(resumable(route("lohu930", "streaming", "wordsmith", 3, 25*time.Second, 6*time.Second))))
	var mu sync.Mutex
	var crashes []time.Time
	begun := make(map[string]bool)
	for n := range 3 {
		w.startReplica(n, "wordsmith", 64, func(v *replica, c net.Conn, q *request) {
			deadly := strings.Contains(q.Header.Get("Prompt-Prefix"), crashingPart)
			w.log("replica %s admits %s, with the part: %v", v.id, q.id, deadly)
			if _, err := io.WriteString(c, v.streamHead(q)); err != nil {
				return
			}
			if deadly && w.trouble {
				time.Sleep(30 * time.Millisecond)
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				v.crash(replicaDown)
				return
			}
			time.Sleep(firstToken)
			for i := q.firstEvent(); i < 5; i++ {
				if _, err := io.WriteString(c, chunk(eventText(q.subject(), i))); err != nil {
					return
				}
				mu.Lock()
				begun[q.id] = true
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
	}
	w.startVMs(3)
	type sent struct {
		at time.Time
		id string
		ok bool
	}
	var sound []sent
	var wg sync.WaitGroup
	number := 0
	send := func(part string) {
		number++
		n, vm := number, w.vms[number%len(w.vms)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			at := time.Now()
			r := w.send(call{
				vm: vm, method: "POST", path: fmt.Sprintf("/lohu930/%s%x", part, n), key: clientKey, body: "review the claim", deadline: 20 * time.Second,
				headers: []string{"Model: ravo486f6a", "Token-Counts: 12000,60", fmt.Sprintf("Prompt-Prefix: %s:512,%s:4870,%08x:6610", firstPart, part, n)},
			})
			w.log("client sent %s with the part %s to %s: %s", r.requestID, part, vm.name, r)
			if part == crashingPart {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, sent{at, r.requestID, begun[r.requestID]})
		}()
	}
	var firstDeadly time.Time
	for b := range baseline + afterwards {
		next := time.Now().Add(burstGap)
		for range burstSize {
			send("91bd3f06")
		}
		time.Sleep(400 * time.Millisecond)
		if b >= baseline {
			if firstDeadly.IsZero() {
				firstDeadly = time.Now()
			}
			for range 3 {
				send(crashingPart)
				time.Sleep(400 * time.Millisecond)
			}
		}
		time.Sleep(time.Until(next))
	}
	wg.Wait()
	if len(crashes) == 0 {
		w.log("no replica crashed")
		return nil
	}
	last := crashes[min(len(crashes), 5)-1]
	var before, beforeBegun, after, afterBegun int
	for _, s := range sound {
		switch {
		case s.at.Before(firstDeadly.Add(-5 * time.Second)):
			before++
			if s.ok {
				beforeBegun++
			}
		case s.at.After(last.Add(2 * stableWindow)):
			after++
			if s.ok {
				afterBegun++
			}
		}
	}
	w.log("%d crashes; %d of %d sound requests began before, %d of %d later than %v after the crash that counts", len(crashes), beforeBegun, before, afterBegun, after, 2*stableWindow)
	fmt.Printf("%d crashes; %d of %d sound requests began before, %d of %d after\n", len(crashes), beforeBegun, before, afterBegun, after)
	if before >= enough && after >= enough && 2*afterBegun*before < beforeBegun*after {
		breaches = append(breaches, "sound requests begin less than half as often as before")
	}
	return breaches
}
