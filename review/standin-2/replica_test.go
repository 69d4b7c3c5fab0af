package standin2

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// drainTime is DrainMs: how long a replica serves on after the store has accepted that it leaves.
const drainTime = 2 * time.Second

// longPath is the prefix of requests on which a replica works for long.
const longPath = "/long/"

// replica is a sound replica. It works on each request for a while, and answers it with one event.
type replica struct {
	w       *world
	id      string
	service string
	slots   int
	born    int64
	work    time.Duration
	long    time.Duration // for requests with longPath
	busy    atomic.Int64
	leaving atomic.Bool
	srv     *http.Server
	addr    string
}

var lastReplica atomic.Int64

// startReplica starts a replica and registers it.
func (w *world) startReplica(service string, slots int, work, long time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{w: w, id: fmt.Sprintf("i-%08x", lastReplica.Add(1)), service: service, slots: slots, work: work, long: long,
		born: time.Now().UnixMilli(), addr: l.Addr().String()}
	r.srv = &http.Server{Handler: r}
	go func() { _ = r.srv.Serve(l) }()
	r.register("ready")
	w.note("replica %s of %s starts at %s", r.id, service, r.addr)
	return r, nil
}

func (r *replica) register(state string) {
	r.w.store.put("servers", r.id, map[string]any{
		"Service": r.service, "Address": r.addr, "Zone": "zone-a", "Version": "v1", "Slots": r.slots, "State": state,
		"ColdLeftMs": 0, "Sequence": 1, "born": r.born,
	})
}

// leave drains the replica and ends it: it reports that it is draining, serves on for DrainMs and a little longer, and exits when the
// requests that it runs have ended.
func (r *replica) leave() {
	r.leaving.Store(true)
	r.register("draining")
	r.w.note("replica %s is draining", r.id)
	time.Sleep(drainTime + 500*time.Millisecond)
	for r.busy.Load() > 0 {
		time.Sleep(20 * time.Millisecond)
	}
	r.w.store.remove("servers", r.id)
	_ = r.srv.Close()
	r.w.note("replica %s has exited", r.id)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := q.Header.Get("Expect-Replica"); want != "" && want != r.id {
		w.Header().Set("Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.busy.Add(1) > int64(r.slots) {
		r.busy.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.busy.Add(-1)
	_, _ = io.Copy(io.Discard, q.Body)
	r.w.ran(id, r.id)
	work := r.work
	if strings.HasPrefix(q.URL.Path, longPath) {
		work = r.long
	}
	select {
	case <-time.After(work):
	case <-q.Context().Done():
		return
	}
	body := "id: 0\ndata: done by " + r.id + "\n\n"
	if r.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Replica-Signature", "sig."+r.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// get sends one request on a new connection and returns the status.
func get(addr, path string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return 0, err
	}
	q.Close = true
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
