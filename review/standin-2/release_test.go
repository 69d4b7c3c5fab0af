package standin2

import (
	"fmt"
	"time"
)

// releaseCase: the replicas of a service are replaced one after the other, one release after the other, under steady traffic. The
// machine must go on serving.
func releaseCase(w *world) (broken bool, err error) {
	const (
		replicas = 12
		slots    = 64
		service  = "huvo11a"
		gap      = 710 * time.Millisecond // between two replicas of a release
		work     = 100 * time.Millisecond
		long     = 1500 * time.Millisecond
		deadline = 5 * time.Second
		limit    = 105 * time.Second
	)
	w.store.put("config", "main", config(3, service, []route{
		plainRoute("r-1", "/puxa403/", "unsafe", service), plainRoute("r-2", longPath, "unsafe", service),
	}, deadline))
	var now []*replica
	for range replicas {
		r, err := w.startReplica(service, slots, work, long)
		if err != nil {
			return false, err
		}
		now = append(now, r)
	}
	m, err := w.startMachine("front-zone-a-1", "zone-a", limits{memoryMB: 134, maxFds: 4100})
	if err != nil {
		return false, err
	}
	target := func() string { return m.front }
	// Most clients come in clumps, so that many requests run at the same time for a moment.
	crowd := &clients{w: w, target: target, method: "POST", path: "/puxa403/2f", body: "x", deadline: deadline}
	crowd.begin(420, 2*time.Second, 20*time.Millisecond)
	steady := &clients{w: w, target: target, method: "POST", path: longPath + "2f", body: "x", deadline: deadline}
	steady.begin(60, 2*time.Second, 2*time.Second)
	newcomers := &clients{w: w, target: target, method: "POST", path: "/puxa403/2f", body: "x", deadline: deadline, fresh: true}
	newcomers.begin(10, time.Second, time.Second)
	begin := time.Now()
	for n := 1; time.Since(begin) < limit && !m.hasEnded(); n++ {
		time.Sleep(gap)
		if w.trouble {
			r, err := w.startReplica(service, slots, work, long)
			if err != nil {
				return false, err
			}
			go now[0].leave()
			now = append(now[1:], r)
		}
		if n%14 == 0 {
			w.say("%d s: %s has started, %d descriptors, %d MB", int(time.Since(begin).Seconds()), now[replicas-1].id, m.descriptors(), m.memory())
		}
	}
	return w.judgeLost(m, crowd, steady, newcomers)
}

// judgeLost ends the clients, and checks that the machine closed no more than three kept connections without an answer to a request that
// it had passed on.
func (w *world) judgeLost(m *machine, all ...*clients) (broken bool, err error) {
	time.Sleep(1500 * time.Millisecond)
	sent, served := 0, 0
	var lost []string
	for _, c := range all {
		c.end()
		n, ok := c.count()
		sent, served, lost = sent+n, served+ok, append(lost, c.lost(m)...)
	}
	w.say("%d requests, %d served; passed on from a kept connection and closed without an answer: %d", sent, served, len(lost))
	for _, id := range lost {
		w.note("lost %s", id)
	}
	if served < sent/2 && !m.hasEnded() {
		return false, fmt.Errorf("%d of %d requests were served", served, sent)
	}
	return len(lost) > 3, nil
}
