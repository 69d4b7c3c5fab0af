package review

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["uploads"] = uploads }

const (
	memoryKb      = 134 * 1024 // MemoryMb of the sheet
	uploadBytes   = 4_000_000  // MaxBodyBytes is 4,194,304
	uploadWork    = 100 * time.Millisecond
	uploadSpan    = 30 * time.Second
	uploadCallers = 16 // at each VM, with the disruption
	restartDelay  = 500 * time.Millisecond
	// Ends of processes that break the rule: so many on each of at least two machines.
	brokenEnds     = 3
	brokenMachines = 2
)

// uploads sends requests with bodies just below the configured limit: one caller at each VM, with the disruption many at once. A VM whose
// memory exceeds its limit is killed and started again, as the platform does.
func uploads(w *world) (breaches []string) {
	w.startStore(config(route("puxa403", "unsafe", "tagdesk-app", 1, 5*time.Second, 2*time.Second)))
	for n := range 3 {
		slots := make(chan struct{}, 6)
		var waiting atomic.Int64
		w.startReplica(n, "tagdesk-app", 6, func(v *replica, c net.Conn, q *request) {
			defer waiting.Add(-1)
			if waiting.Add(1) > 6+24 {
				fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.id)
				return
			}
			slots <- struct{}{}
			time.Sleep(uploadWork)
			<-slots
			w.log("replica %s ran %s, %d bytes", v.id, q.id, len(q.body))
			v.whole(c, q, "received", "")
		})
	}
	w.startVMs(3)
	ends := make([]int, len(w.vms))
	cut := make([]atomic.Int64, len(w.vms))
	end := time.Now().Add(uploadSpan)
	var wg sync.WaitGroup
	for i := range w.vms {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ends[i] = w.limitMemory(i, end)
		}()
	}
	callers := 1
	if w.trouble {
		callers = uploadCallers
	}
	body := strings.Repeat("x", uploadBytes)
	for i, v := range w.vms {
		for k := range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; time.Now().Before(end); n++ {
					path := fmt.Sprintf("/puxa403/%d-%d-%d", i, k, n)
					r := w.send(call{vm: v, method: "POST", path: path, key: clientKey, body: body, deadline: 5 * time.Second})
					w.log("client sent %s %s to %s: %s", r.requestID, path, v.name, r)
					if r.err != nil {
						cut[i].Add(1)
						time.Sleep(100 * time.Millisecond)
					}
				}
			}()
		}
	}
	wg.Wait()
	machines := 0
	for i, v := range w.vms {
		w.log("%s exceeded its memory %d times; %d requests to it were cut", v.name, ends[i], cut[i].Load())
		if ends[i] >= brokenEnds {
			machines++
		}
	}
	if machines >= brokenMachines {
		breaches = append(breaches, fmt.Sprintf("the processes of %d machines ended %d times or more, for their memory", machines, brokenEnds))
	}
	return breaches
}

// limitMemory kills the process of a VM whenever its memory exceeds the limit, and starts it again. It returns how often.
func (w *world) limitMemory(i int, end time.Time) (ends int) {
	v, peak := w.vms[i], 0
	for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		kb := anonymousKb(v.cmd.Process.Pid)
		peak = max(peak, kb)
		if kb <= memoryKb {
			continue
		}
		ends++
		w.log("%s has %d kB of anonymous memory, more than %d: it is killed", v.name, kb, memoryKb)
		v.kill()
		time.Sleep(restartDelay)
		w.startVM(i)
	}
	w.log("%s had %d kB of anonymous memory at most", v.name, peak)
	return ends
}

// anonymousKb returns the anonymous memory of a process in kB, which leaves out the pages of its program file.
func anonymousKb(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if after, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.Fields(after)[0])
			return n
		}
	}
	return 0
}
