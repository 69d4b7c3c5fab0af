package review

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["dropped"] = droppedAnswer }

const droppedRequests = 60

// droppedAnswer sends requests that may run only once, of an unsafe route and of one with streams that may not be resumed, where the
// router chooses the model. The small model answers with low confidence; without the disruption with high confidence.
func droppedAnswer(w *world) (breaches []string) {
	w.startStore(config(
		sizes(route("puxa403", "unsafe", "wordsmith", 3, 8*time.Second, 2*time.Second)),
		sizes(route("lohu930", "streaming", "wordsmith", 3, 20*time.Second, 2*time.Second)),
	))
	var mu sync.Mutex
	runs := make(map[string]int)
	for n := range 4 {
		w.startReplica(n, "wordsmith", 64, func(v *replica, c net.Conn, q *request) {
			confidence := 95
			if w.trouble && q.Header.Get("Model") == "daka510000" {
				confidence = 12
			}
			mu.Lock()
			runs[q.id]++
			run := runs[q.id]
			mu.Unlock()
			w.log("replica %s runs %s %s with model %s, run %d, confidence %d", v.id, q.id, q.URL.Path, q.Header.Get("Model"), run, confidence)
			time.Sleep(20 * time.Millisecond)
			if q.URL.Path[:9] == "/puxa403/" {
				v.whole(c, q, "instruction "+q.id, fmt.Sprintf("Confidence: %d\r\n", confidence))
				return
			}
			fmt.Fprintf(c, "%sConfidence: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", v.head(q), confidence)
			for i := range 3 {
				fmt.Fprint(c, chunk(eventText(q.subject(), i)))
				time.Sleep(5 * time.Millisecond)
			}
			fmt.Fprint(c, "0\r\n\r\n")
		})
	}
	w.startVMs(3)
	for n := range droppedRequests {
		path := fmt.Sprintf("/%s/%x", []string{"puxa403", "lohu930"}[n%2], n)
		vm := w.vms[n%len(w.vms)]
		r := w.send(call{
			vm: vm, method: "POST", path: path, key: clientKey, body: "dispatch and bill", deadline: 20 * time.Second,
			headers: []string{"Model: *", "Token-Counts: 6000,900", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:4000,%08x:2000", n)},
		})
		w.log("client sent %s %s to %s: %s", r.requestID, path, vm.name, r)
		mu.Lock()
		if k := runs[r.requestID]; k > 1 {
			breaches = append(breaches, fmt.Sprintf("%s %s ran %d times", r.requestID, path, k))
		}
		mu.Unlock()
	}
	return breaches
}
