package standin

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

func init() { cases["12"] = play12 }

// play12: callers name a model on a route with Sizes.
func play12(r *run) error {
	s, err := newStore(r)
	if err != nil {
		return err
	}
	s.put("config", "main", config(7, routes()))
	var mu sync.Mutex
	ran := make(map[string][]string)
	write := func(p *replica, c net.Conn, q *request) bool {
		if q.URL.Path == "/-/report" {
			return p.report(c)
		}
		model := q.Header.Get("Model")
		mu.Lock()
		ran[q.id] = append(ran[q.id], model)
		mu.Unlock()
		r.note("replica %s: runs request %s with Model %q", p.id, q.id, model)
		p.beginStream(c, q, "Confidence: 95")
		for n := 1; n <= 3; n++ {
			event(c, n)
			time.Sleep(20 * time.Millisecond)
		}
		return endStream(c)
	}
	for i := range 3 {
		if _, err := r.startReplica(s, fmt.Sprintf("i-%d", i+1), serviceLLM, zones[i], "", 64, write); err != nil {
			return err
		}
	}
	machines, err := r.startFleet(s, 3)
	if err != nil {
		return err
	}
	other := 0
	for i := range 30 {
		model := "*"
		if r.trouble {
			model = models[i%len(models)]
		}
		q := prompt("/sized/2f", "own-"+newID(), fmt.Sprint("review ", i))
		q.headers["Model"], q.headers["Token-Counts"] = model, "11992,384"
		got := send(client(machines[i%3].front), q)
		r.note("request %s: client sends Model %q, gets %v", q.id, model, got)
		mu.Lock()
		for _, m := range ran[q.id] {
			if m != model && !(model == "*" && slices.Contains(models, m)) {
				other++
			}
		}
		mu.Unlock()
	}
	if other > 0 {
		return fmt.Errorf("%w: UNASKED, %d runs whose Model is not the client's", errBroken, other)
	}
	return nil
}
