package standin2

import "time"

// idleCase: many clients send a request now and then, and leave their connections open between them. One of two machines is lost, so all
// clients come to the other one. It may close idle connections by the operator's limit, but must go on serving.
func idleCase(w *world) (broken bool, err error) {
	const (
		replicas = 12
		slots    = 64
		service  = "huvo11a"
		work     = 100 * time.Millisecond
		long     = 1500 * time.Millisecond
		deadline = 5 * time.Second
		rare     = 4000             // clients that send a request each period
		period   = 20 * time.Second // longer than IdleTimeoutMs, so the next request comes on a new connection
		before   = 25 * time.Second
		after    = 35 * time.Second
	)
	if err := needDescriptors(6000); err != nil {
		return false, err
	}
	w.store.put("config", "main", config(3, service, []route{
		plainRoute("r-1", "/puxa403/", "unsafe", service), plainRoute("r-2", longPath, "unsafe", service),
	}, deadline))
	for range replicas {
		if _, err := w.startReplica(service, slots, work, long); err != nil {
			return false, err
		}
	}
	l := limits{memoryMB: 134, maxFds: 4100}
	a, err := w.startMachine("front-zone-a-1", "zone-a", l)
	if err != nil {
		return false, err
	}
	b, err := w.startMachine("front-zone-a-2", "zone-a", l)
	if err != nil {
		return false, err
	}
	var all []*clients
	for i, m := range []*machine{a, b} {
		target := func() string {
			if m.hasEnded() {
				return a.front // the platform sends new connections to machines that are ready
			}
			return m.front
		}
		rarely := &clients{w: w, target: target, method: "POST", path: "/puxa403/2f", body: "x", deadline: deadline, idle: true}
		rarely.begin(rare/2, period, period)
		steady := &clients{w: w, target: target, method: "POST", path: longPath + "2f", body: "x", deadline: deadline}
		steady.begin(30, 2*time.Second, 2*time.Second)
		all = append(all, rarely, steady)
		w.note("clients %d begin at %s", i, m.name)
	}
	time.Sleep(before)
	w.say("two machines: %d and %d descriptors", a.descriptors(), b.descriptors())
	if w.trouble {
		w.say("machine %s is lost", b.name)
		b.kill()
	}
	for begin := time.Now(); time.Since(begin) < after && !a.hasEnded(); {
		time.Sleep(time.Second)
		w.note("%d descriptors, %d MB", a.descriptors(), a.memory())
	}
	w.say("after that: %d descriptors, %d MB", a.descriptors(), a.memory())
	return w.judgeLost(a, all...)
}
