package standin

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["13"] = play13 }

// play13: callers with a key use a route that is Public while the store is down.
func play13(r *run) error {
	s, err := newStore(r)
	if err != nil {
		return err
	}
	s.put("config", "main", config(7, append(routes(), publicRoute())))
	var mu sync.Mutex
	runs, other := 0, 0
	run := func(p *replica, c net.Conn, q *request) bool {
		mu.Lock()
		runs++
		if t := q.Header["Tenant"]; len(t) != 1 || t[0] != tenant {
			other++
		}
		mu.Unlock()
		r.note("replica %s: runs request %s %s with Tenant %s", p.id, q.id, q.URL.Path, tenantOf(q))
		time.Sleep(10 * time.Millisecond)
		return p.reply(c, q, 200, "the tag")
	}
	for i := range 3 {
		if _, err := r.startReplica(s, fmt.Sprintf("i-%d", i+1), serviceDesk, zones[i], "", 6, run); err != nil {
			return err
		}
	}
	machines, err := r.startFleet(s, 3)
	if err != nil {
		return err
	}
	time.AfterFunc(2*time.Second, func() {
		if r.trouble {
			r.note("store: answers 503 for 4.5 s")
			s.setDown(true)
			time.AfterFunc(4500*time.Millisecond, func() { s.setDown(false); r.note("store: answers again") })
		}
	})
	statuses := make(map[int]int)
	for i := range 100 {
		q := call{id: newID(), method: "GET", host: host, target: fmt.Sprintf("/open/%d", i), key: key, deadline: 1500 * time.Millisecond}
		got := send(client(machines[i%3].front), q)
		statuses[got.status]++
		r.note("request %s: client sends the key of tenant %q, gets %v", q.id, tenant, got)
		time.Sleep(80 * time.Millisecond)
	}
	r.note("answers by status: %v; runs: %d", statuses, runs)
	if other > 0 {
		return fmt.Errorf("%w: UNASKED, %d of %d runs whose Tenant is not the tenant that holds the client's key", errBroken, other, runs)
	}
	return nil
}
