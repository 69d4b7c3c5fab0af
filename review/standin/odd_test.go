package review

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["odd"] = oddEntry }

const (
	oddRounds       = 60 // requests on each of the two routes
	oddGap          = 50 * time.Millisecond
	heartbeat       = 1200 * time.Millisecond
	configApplies   = 2 * time.Second
	registerDelay   = 2 * time.Second
	laterRouteLeast = 20
)

// oddEntry brings in a second service with a route of its own. With the disruption, an entry of another writer lies in the list of
// replicas before those of that service register: it names the service, and has fewer fields than a replica's. The route that was added
// must be served like the first one.
func oddEntry(w *world) (breaches []string) {
	first := route("puxa403", "unsafe", "tagdesk-app", 1, 800*time.Millisecond, 150*time.Millisecond)
	later := route("cufi504", "safe", "narocila", 2, 800*time.Millisecond, 150*time.Millisecond)
	w.startStore(config(first))
	answer := func(v *replica, c net.Conn, q *request) {
		w.log("replica %s of %s runs %s %s", v.id, v.service, q.id, q.URL.Path)
		time.Sleep(10 * time.Millisecond)
		v.whole(c, q, "answer to "+q.id, "")
	}
	for n := range 3 {
		w.startReplica(n, "tagdesk-app", 6, answer)
	}
	w.startVMs(3)
	if w.trouble {
		go func() {
			for n := 1; ; n++ {
				w.store.put("servers", "i-f00d", map[string]any{"Service": "narocila", "Address": addr(200, portReplica), "State": "ready", "Sequence": n})
				time.Sleep(heartbeat)
			}
		}()
		w.log("another writer has an entry for a replica of narocila, with no zone, version, slots and start")
	}
	time.Sleep(registerDelay)
	for n := range 3 {
		w.startReplica(3+n, "narocila", 6, answer)
	}
	next := config(first, later)
	next["Version"] = 9
	services, _ := next["Services"].([]any)
	next["Services"] = append(services, map[string]any{"Name": "narocila", "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false})
	w.store.put("config", "main", next)
	w.log("the store acknowledged version 9, which adds the route to narocila")
	time.Sleep(configApplies + stableWindow)
	served := make(map[string]int)
	for n := range oddRounds {
		vm := w.vms[n%len(w.vms)]
		for _, a := range []call{{method: "POST", path: fmt.Sprintf("/puxa403/%x", n), body: "x"}, {method: "GET", path: fmt.Sprintf("/cufi504/%x", n)}} {
			a.vm, a.key, a.deadline = vm, clientKey, time.Second
			r := w.send(a)
			w.log("client sent %s %s to %s: %s", r.requestID, a.path, vm.name, r)
			if r.status == 200 {
				served[a.path[:9]]++
			}
		}
		time.Sleep(oddGap)
	}
	w.log("served: %d of %d on the first route, %d of %d on the one that was added", served["/puxa403/"], oddRounds, served["/cufi504/"], oddRounds)
	if oddRounds >= laterRouteLeast && 4*served["/cufi504/"] < served["/puxa403/"] {
		breaches = append(breaches, fmt.Sprintf("%d of %d requests on the route that was added are served, %d of %d on the first one",
			served["/cufi504/"], oddRounds, served["/puxa403/"], oddRounds))
	}
	return breaches
}
