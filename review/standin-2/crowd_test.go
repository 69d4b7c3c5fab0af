package standin2

import "time"

// crowdCase: many clients come at once at a machine that has steady traffic. The machine may refuse them, but must go on serving.
func crowdCase(w *world) (broken bool, err error) {
	const (
		replicas = 26
		slots    = 128
		service  = "huvo11a"
		work     = 5 * time.Second
		usual    = 1300        // clients, each of which always has a request
		more     = usual * 0.7 // the burst: 1.7 times the usual
		burst    = 3 * time.Second
		before   = 8 * time.Second
		after    = 6 * time.Second
	)
	if err := needDescriptors(6000); err != nil {
		return false, err
	}
	w.store.put("config", "main", config(3, service, []route{plainRoute("r-1", longPath, "unsafe", service)}, 20*time.Second))
	for range replicas {
		if _, err := w.startReplica(service, slots, work, work); err != nil {
			return false, err
		}
	}
	m, err := w.startMachine("front-zone-a-1", "zone-a", limits{memoryMB: 134, maxFds: 4100})
	if err != nil {
		return false, err
	}
	target := func() string { return m.front }
	steady := &clients{w: w, target: target, method: "POST", path: longPath + "2f", body: "x", deadline: 20 * time.Second}
	steady.begin(usual, work, work)
	time.Sleep(before)
	w.say("%d usual clients: %d descriptors, %d MB", usual, m.descriptors(), m.memory())
	crowd := &clients{w: w, target: target, method: "POST", path: longPath + "2f", body: "x", deadline: 20 * time.Second}
	if w.trouble {
		crowd.begin(more, work, burst)
	}
	for range 10 {
		time.Sleep(burst / 10)
		w.note("%d descriptors, %d MB", m.descriptors(), m.memory())
	}
	crowd.stop.Store(true)
	w.say("after the burst: %d descriptors, %d MB", m.descriptors(), m.memory())
	time.Sleep(after)
	return w.judgeLost(m, steady, crowd)
}
