package standin

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Faults that were seen and have no case of their own. They are played by name: REVIEW_CASE=pause, and so on.
func init() {
	cases["pause"] = playPause
	cases["revoked"] = playRevoked
	cases["moved"] = playMoved
}

// playPause: a replica turns a machine away with 503 and a long Retry-After.
func playPause(r *run) error {
	s, err := newStore(r)
	if err != nil {
		return err
	}
	s.put("config", "main", config(7, routes()))
	var mu sync.Mutex
	var first time.Time
	late := 0
	turnAway := func(p *replica, c net.Conn, q *request) bool {
		if !r.trouble {
			return p.reply(c, q, 200, "the tag")
		}
		mu.Lock()
		defer mu.Unlock()
		if first.IsZero() {
			first = q.at
		}
		if q.at.Sub(first) > 500*time.Millisecond {
			late++
		}
		r.note("replica %s: request %s arrives, 503 with Retry-After: 7200", p.id, q.id)
		return p.shed(c, q, "Retry-After: 7200")
	}
	answer := func(p *replica, c net.Conn, q *request) bool {
		time.Sleep(10 * time.Millisecond)
		return p.reply(c, q, 200, "the tag")
	}
	if _, err := r.startReplica(s, "i-1", serviceDesk, zones[0], "", 6, turnAway); err != nil {
		return err
	}
	if _, err := r.startReplica(s, "i-2", serviceDesk, zones[1], "", 6, answer); err != nil {
		return err
	}
	machines, err := r.startFleet(s, 1)
	if err != nil {
		return err
	}
	for i := range 200 {
		got := send(client(machines[0].front), call{id: newID(), method: "GET", host: host, target: fmt.Sprintf("/lookup/%d", i), key: key, deadline: 1500 * time.Millisecond})
		r.note("client gets %v", got)
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if late > 2 {
		return fmt.Errorf("%w: BUDGET, %d requests reached a replica that wanted none from this machine", errBroken, late)
	}
	return nil
}

// playRevoked: the key of a connected caller is taken away, and the caller goes on to use a route that is Public.
func playRevoked(r *run) error {
	s, err := newStore(r)
	if err != nil {
		return err
	}
	const taken, bound = "k-venue-2", 5 * time.Second
	first := config(7, append(routes(), publicRoute()))
	first["Tenants"] = []m{{"Name": tenant, "ApiKeys": []string{key, taken}}}
	s.put("config", "main", first)
	var mu sync.Mutex
	ran := make(map[string]bool)
	write := func(p *replica, c net.Conn, q *request) bool {
		mu.Lock()
		ran[q.id] = true
		mu.Unlock()
		return p.reply(c, q, 200, "the tag")
	}
	if _, err := r.startReplica(s, "i-1", serviceDesk, zones[0], "", 6, write); err != nil {
		return err
	}
	machines, err := r.startFleet(s, 1)
	if err != nil {
		return err
	}
	var acknowledged time.Time
	late := 0
	for i := range 50 {
		if i == 5 && r.trouble {
			s.put("config", "main", config(12, append(routes(), publicRoute())))
			acknowledged = time.Now()
			r.note("store: acknowledges version 12, which takes the key away")
		}
		sent := time.Now()
		q := call{id: newID(), method: "GET", host: host, target: fmt.Sprintf("/open/%d", i), key: taken, deadline: 1500 * time.Millisecond}
		r.note("request %s: client sends the key %q, gets %v", q.id, taken, send(client(machines[0].front), q))
		mu.Lock()
		if ran[q.id] && !acknowledged.IsZero() && sent.Sub(acknowledged) > bound {
			late++
		}
		mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	if late > 0 {
		return fmt.Errorf("%w: CONFIG, %d requests ran whose key was taken away more than %v before", errBroken, late, bound)
	}
	return nil
}

// playMoved: a key moves to another tenant while a stream with it runs, whose replica crashes 4 s later.
func playMoved(r *run) error {
	s, err := newStore(r)
	if err != nil {
		return err
	}
	const other = "fair"
	first := config(7, routes())
	first["Tenants"] = []m{{"Name": tenant, "ApiKeys": []string{key}}, {"Name": other, "ApiKeys": []string{"k-fair"}}}
	s.put("config", "main", first)
	var mu sync.Mutex
	var moved time.Time
	var current *replica
	wrong := 0
	write := func(p *replica, c net.Conn, q *request) bool {
		if q.URL.Path == "/-/report" {
			return p.report(c)
		}
		mu.Lock()
		current = p
		if !moved.IsZero() && time.Since(moved) > 2*time.Second && q.Header.Get("Tenant") != other {
			wrong++
		}
		mu.Unlock()
		r.note("replica %s: runs request %s from piece %d with Tenant %s", p.id, q.id, firstEvent(q), tenantOf(q))
		p.beginStream(c, q)
		for n := firstEvent(q); n <= 60; n++ {
			if !event(c, n) {
				return false
			}
			time.Sleep(pieceGap)
		}
		return endStream(c)
	}
	for i := range 3 {
		if _, err := r.startReplica(s, fmt.Sprintf("i-%d", i+1), serviceLLM, zones[i], "", 64, write); err != nil {
			return err
		}
	}
	machines, err := r.startFleet(s, 1)
	if err != nil {
		return err
	}
	if r.trouble {
		time.AfterFunc(time.Second, func() {
			next := config(9, routes())
			next["Tenants"] = []m{{"Name": tenant, "ApiKeys": []string{"k-new"}}, {"Name": other, "ApiKeys": []string{"k-fair", key}}}
			s.put("config", "main", next)
			mu.Lock()
			moved = time.Now()
			mu.Unlock()
			r.note("store: acknowledges version 9, in which the key belongs to %s", other)
		})
		time.AfterFunc(5*time.Second, func() {
			mu.Lock()
			p := current
			mu.Unlock()
			r.note("replica %s: its process ends", p.id)
			p.end()
		})
	}
	got := send(client(machines[0].front), prompt("/rules/2f", "own-1", "draft"))
	r.note("client gets %v, ended as complete: %v", got, got.whole)
	mu.Lock()
	defer mu.Unlock()
	if wrong > 0 {
		return fmt.Errorf("%w: UNASKED, %d runs whose Tenant is not the one that holds the client's key", errBroken, wrong)
	}
	return nil
}
