package standin2

import (
	"fmt"
	"time"
)

// configsCase: the configuration has many routes, and the operator changes it in quick succession, again and again, under steady
// traffic. The machine must go on serving.
func configsCase(w *world) (broken bool, err error) {
	const (
		service = "huvo11a"
		routes  = 2600                   // the operator's object stays below ValueBytes
		changes = 12                     // of a storm
		gap     = 330 * time.Millisecond // between two of them
		pause   = 500 * time.Millisecond // between two storms
		work    = 500 * time.Millisecond
		limit   = 105 * time.Second
		timeout = 5 * time.Second
	)
	all := []route{plainRoute("r-1", "/puxa403/", "unsafe", service)}
	for i := range routes {
		all = append(all, plainRoute(fmt.Sprintf("r-%06d", i), fmt.Sprintf("/grown%06d/", i), "unsafe", service))
	}
	version := 3
	put := func() {
		all[0]["TimeoutMs"] = timeout.Milliseconds() + int64(version%2)
		w.store.put("config", "main", config(version, service, all, timeout))
		w.note("the operator writes version %d", version)
		version += 2
	}
	put()
	if n := w.store.size("config", "main"); n > 1<<20 {
		return false, fmt.Errorf("the configuration has %d bytes", n)
	}
	for range 4 {
		if _, err := w.startReplica(service, 64, work, work); err != nil {
			return false, err
		}
	}
	m, err := w.startMachine("front-zone-a-1", "zone-a", limits{memoryMB: 134, maxFds: 4100})
	if err != nil {
		return false, err
	}
	c := &clients{w: w, target: func() string { return m.front }, method: "POST", path: "/puxa403/2f", body: "x", deadline: 3 * time.Second}
	c.begin(60, time.Second, time.Second)
	begin := time.Now()
	for n := 1; time.Since(begin) < limit && !m.hasEnded(); n++ {
		time.Sleep(gap)
		if w.trouble {
			put()
		}
		if n%changes == 0 {
			time.Sleep(pause)
		}
		if n%(3*changes) == 0 {
			w.say("%d s: version %d, %d MB, %d descriptors", int(time.Since(begin).Seconds()), version-2, m.memory(), m.descriptors())
		}
	}
	return w.judgeLost(m, c)
}
