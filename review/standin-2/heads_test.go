package standin2

import (
	"fmt"
	"strings"
	"time"
)

// headsCase: many clients come at once at a machine that has steady traffic. Their prompts have many parts, so the heads of their
// requests are long, within MaxHeaderBytes. The machine may refuse them, but must go on serving.
func headsCase(w *world) (broken bool, err error) {
	const (
		replicas = 16
		slots    = 128
		service  = "huvo11a"
		work     = 5 * time.Second
		parts    = 800 // of a prompt
		usual    = 760 // clients, each of which always has a request
		before   = 8 * time.Second
		burst    = 3 * time.Second
		after    = 6 * time.Second
	)
	r := plainRoute("r-1", longPath, "streaming", service)
	r["Sticky"], r["GapAimMs"] = true, 8000
	w.store.put("config", "main", config(3, service, []route{r}, 20*time.Second))
	for range replicas {
		if _, err := w.startReplica(service, slots, work, work); err != nil {
			return false, err
		}
	}
	m, err := w.startMachine("front-zone-a-1", "zone-a", limits{memoryMB: 134, maxFds: 4100})
	if err != nil {
		return false, err
	}
	newClients := func() *clients {
		return &clients{w: w, target: func() string { return m.front }, method: "POST", path: longPath + "2f", deadline: 20 * time.Second,
			body: strings.Repeat("x", 4000), headers: promptOf(parts)}
	}
	steady := newClients()
	steady.begin(usual, work, work)
	time.Sleep(before)
	w.say("%d usual clients, heads of %d bytes: %d descriptors, %d MB", usual, len(steady.headers()), m.descriptors(), m.memory())
	crowd := newClients()
	if w.trouble {
		crowd.begin(usual*7/10, work, burst) // 1.7 times the usual
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

// promptOf returns a function that makes the headers of a prompt with many parts, all shared but the last one.
func promptOf(parts int) func() string {
	var shared strings.Builder
	tokens := 0
	for i := range parts - 1 {
		fmt.Fprintf(&shared, "%08x:%d,", 0x5c1e07a2+i, 10)
		tokens += 10
	}
	return func() string {
		return fmt.Sprintf("Model: daka510000\r\nToken-Counts: %d,80\r\nPrompt-Prefix: %s%08x:10\r\n", tokens+10, shared.String(), lastRequest.Load())
	}
}
