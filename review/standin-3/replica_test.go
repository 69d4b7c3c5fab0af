package standin

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

// replica is a stand-in of a backend server: one incarnation of a process at an address.
type replica struct {
	id, service, zone, addr string
	born                    int64
	slots                   int
	handle                  func(p *replica, c net.Conn, q *request) (keep bool)

	run   *run
	ln    net.Listener
	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

// request is a request that has reached a replica.
type request struct {
	*http.Request
	id   string
	body string
	at   time.Time
	conn int // requests on the connection before it
}

// startReplica starts an incarnation, and registers it. addr is "" for a new address.
func (r *run) startReplica(s *store, id, service, zone, addr string, slots int, handle func(*replica, net.Conn, *request) bool) (*replica, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &replica{
		id: id, service: service, zone: zone, addr: ln.Addr().String(), born: time.Now().UnixMilli(), slots: slots, handle: handle,
		run: r, ln: ln, conns: make(map[net.Conn]bool),
	}
	go p.accept()
	r.atEnd(p.end)
	s.put("servers", id, map[string]any{
		"Service": service, "Address": p.addr, "Zone": zone, "Version": "v1", "Slots": slots, "State": "ready", "ColdLeftMs": 0,
		"Sequence": 1, "born": p.born,
	})
	r.note("replica %s of %s: starts at %s", id, service, p.addr)
	return p, nil
}

func (p *replica) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.serve(c)
	}
}

func (p *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		hr, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(hr.Body)
		if err != nil {
			return
		}
		q := &request{Request: hr, id: hr.Header.Get("Request-Id"), body: string(body), at: time.Now(), conn: n}
		if e := hr.Header.Get("Expect-Replica"); e != "" && e != p.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", q.id, p.id)
			continue
		}
		if !p.handle(p, c, q) {
			return
		}
	}
}

// end ends the process: its port and connections close.
func (p *replica) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	_ = p.ln.Close()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// reply writes a complete answer with a signature.
func (p *replica) reply(c net.Conn, q *request, status int, body string, headers ...string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nReplica-Signature: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, q.id, p.id, q.id, lines(headers), len(body), body)
	return err == nil
}

// shed answers that the request was not run.
func (p *replica) shed(c net.Conn, q *request, headers ...string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", q.id, lines(headers))
	return err == nil
}

// report answers the question for the replica's state: nothing waits, and these requests run.
func (p *replica) report(c net.Conn, running ...string) bool {
	runs := make([]string, 0, len(running))
	for _, id := range running {
		runs = append(runs, fmt.Sprintf(`["%s",700,5,0]`, id))
	}
	body := fmt.Sprintf(`{"Stage":"colocated","Models":[],"Busy":false,"Sequence":1,"Waiting":0,"Running":%d,"KvUsed":0,"KvTotal":400000,"Handles":0,"State":"ready","Next":0,"Runs":[%s]}`,
		len(running), strings.Join(runs, ","))
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// beginStream writes the head of a stream, event one event of it, and endStream its end.
func (p *replica) beginStream(c net.Conn, q *request, headers ...string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReplica-Signature: %s.%s\r\nContent-Type: text/event-stream\r\n%sTransfer-Encoding: chunked\r\n\r\n",
		q.id, p.id, q.id, lines(headers))
	return err == nil
}

func event(c net.Conn, id int) bool {
	text := fmt.Sprintf("id: %d\ndata: piece %d of the answer\n\n", id, id)
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

func endStream(c net.Conn) bool {
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// firstEvent returns the number of the event with which a replica begins.
func firstEvent(q *request) int {
	if n, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		return n + 1
	}
	return 1
}

func lines(headers []string) string {
	if len(headers) == 0 {
		return ""
	}
	return strings.Join(headers, "\r\n") + "\r\n"
}
