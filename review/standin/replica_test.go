package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in for a back end. It runs the requests that name it and rejects the others.
type replica struct {
	w       *world
	id      string
	service string
	zone    string
	addr    string
	slots   int
	answer  func(c net.Conn, q *request) // runs a request and writes the answer

	mu    sync.Mutex
	born  int64
	ln    net.Listener
	conns map[net.Conn]bool
}

// request is a request as a replica received it.
type request struct {
	*http.Request
	id   string
	body []byte
	at   time.Time
}

// startReplica starts a replica and registers it in the store.
func (w *world) startReplica(n int, service string, slots int, answer func(v *replica, c net.Conn, q *request)) *replica {
	v := &replica{
		w: w, service: service, zone: zones[n%len(zones)], addr: addr(100+n, portReplica), slots: slots,
		id: fmt.Sprintf("i-%d-1", n), conns: make(map[net.Conn]bool),
	}
	v.answer = func(c net.Conn, q *request) { answer(v, c, q) }
	v.listen()
	return v
}

// listen starts the replica, as a new incarnation if it ran before.
func (v *replica) listen() {
	ln, err := net.Listen("tcp", v.addr)
	must(err)
	v.mu.Lock()
	v.ln, v.born = ln, time.Now().UnixMilli()
	v.mu.Unlock()
	v.register("ready")
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			v.mu.Lock()
			v.conns[c] = true
			v.mu.Unlock()
			go v.serve(c)
		}
	}()
}

// register writes the replica's entry.
func (v *replica) register(state string) {
	v.w.store.put("servers", v.id, map[string]any{
		"Service": v.service, "Address": v.addr, "Zone": v.zone, "Version": "v1", "Slots": v.slots, "State": state,
		"ColdLeftMs": 0, "Sequence": 1, "born": v.born,
	})
}

// heartbeatLapse is the time of silence after which the entry of a replica is removed: three heartbeats of 1.2 s.
const heartbeatLapse = 3600 * time.Millisecond

// crash ends the replica: its port refuses connections and its open ones are reset. After down it is back as a new incarnation.
func (v *replica) crash(down time.Duration) {
	v.mu.Lock()
	if v.ln == nil {
		v.mu.Unlock()
		return
	}
	_ = v.ln.Close()
	v.ln = nil
	for c := range v.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	v.conns = make(map[net.Conn]bool)
	old := v.id
	v.mu.Unlock()
	v.w.log("replica %s crashes", old)
	time.AfterFunc(heartbeatLapse, func() { v.w.store.remove("servers", old) })
	time.AfterFunc(down, func() {
		name, n, _ := cutLast(old)
		v.mu.Lock()
		v.id = fmt.Sprintf("%s-%d", name, n+1)
		v.mu.Unlock()
		v.listen()
		v.w.log("replica %s is back as %s", old, v.id)
	})
}

// cutLast splits a name at its last hyphen.
func cutLast(id string) (name string, n int, err error) {
	i := strings.LastIndexByte(id, '-')
	n, err = strconv.Atoi(id[i+1:])
	return id[:i], n, err
}

func (v *replica) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		q := &request{Request: r, id: r.Header.Get("Request-Id"), body: body, at: time.Now()}
		v.mu.Lock()
		id := v.id
		v.mu.Unlock()
		switch {
		case r.Method == http.MethodGet && r.URL.Path == "/-/report":
			report := `{"Stage":"colocated","Models":[],"Busy":false,"Sequence":0,"Waiting":0,"Running":1,"KvUsed":1000,"KvTotal":400000,"Handles":0}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		case r.Method == http.MethodGet && r.URL.Path == "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		case q.id == "":
			fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		case r.Header.Get("Expect-Replica") != "" && r.Header.Get("Expect-Replica") != id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nReplica-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.id, id)
		default:
			v.answer(c, q)
		}
	}
}

// head returns the head of a success, up to the headers that frame the body.
func (v *replica) head(q *request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReplica-Signature: sig.%s.%s\r\nReplica-Id: %s\r\n", q.id, v.id, q.id, v.id)
}

// whole answers with a body and its length.
func (v *replica) whole(c net.Conn, q *request, body, headers string) {
	fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n%s", v.head(q), headers, len(body), body)
}

// streamHead returns the head of a stream in chunks.
func (v *replica) streamHead(q *request) string {
	return v.head(q) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// eventText returns the n-th event of the answer to a request. It is the same at each replica.
func eventText(q string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, q)
}

// chunk frames a part of a body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// firstEvent returns the number of the event at which the answer to a request begins.
func (q *request) firstEvent() int {
	n, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return n + 1
}

// stream answers with the events up to a number of them, at an interval. It stops when the caller closes.
func (v *replica) stream(c net.Conn, q *request, events int, interval time.Duration) (whole bool) {
	if _, err := io.WriteString(c, v.streamHead(q)); err != nil {
		return false
	}
	for n := q.firstEvent(); n < events; n++ {
		if _, err := io.WriteString(c, chunk(eventText(q.subject(), n))); err != nil {
			return false
		}
		time.Sleep(interval)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// subject is what the answer to a request is about: its path. Each attempt of a client has an identifier of its own, but the same path.
func (q *request) subject() string { return q.URL.Path }
