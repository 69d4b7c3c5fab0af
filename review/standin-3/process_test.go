package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

func init() { cases["replica"] = playReplica }

// Pieces of a stream of a replica process, and the time between them.
const (
	streamPieces = 20
	pieceGap     = 150 * time.Millisecond
)

// playReplica is the main function of a replica that runs as a process of its own, so that a case can kill it with a signal. It answers
// each request with a stream that has neither a length nor chunks and ends with its connection. It tells on its standard output at which
// address it listens, and which requests it runs.
func playReplica(*run) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	id := os.Getenv("REVIEW_REPLICA")
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer c.Close() //nolint:errcheck // the answer ends with the connection
			q, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			serveUnframed(c, q, id)
		}()
	}
}

func serveUnframed(c net.Conn, q *http.Request, id string) {
	name := q.Header.Get("Request-Id")
	switch {
	case q.URL.Path == "/-/report":
		p := &replica{id: id}
		p.report(c)
		return
	case q.Header.Get("Expect-Replica") != id:
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nReplica-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", name, id)
		return
	}
	from := firstEvent(&request{Request: q})
	fmt.Printf("runs request %s from piece %d\n", name, from)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReplica-Signature: %s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", name, id, name)
	for n := from; n <= streamPieces; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %d\n\n", n, n, streamPieces); err != nil {
			return
		}
		time.Sleep(pieceGap)
	}
	fmt.Printf("ends request %s whole\n", name)
}

// replicaProcess is a replica that runs as a process of its own.
type replicaProcess struct {
	id, addr string
	cmd      *exec.Cmd
	done     chan struct{}
}

// startReplicaProcess starts a replica as a process, and registers it.
func (r *run) startReplicaProcess(s *store, id, service, zone string, slots int) (*replicaProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self)
	cmd.Env = []string{"REVIEW_CASE=replica", "REVIEW_REPLICA=" + id, "REVIEW_DIR=" + r.temp, "PATH=" + os.Getenv("PATH")}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &replicaProcess{id: id, cmd: cmd, done: make(chan struct{})}
	r.atEnd(p.kill)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("replica %s says no address", id)
	}
	p.addr = lines.Text()
	go func() {
		for lines.Scan() {
			r.note("replica %s: %s", id, lines.Text())
		}
		_ = cmd.Wait() // it is killed at the end in any case
		r.note("replica %s: process ended", id)
		close(p.done)
	}()
	s.put("servers", id, map[string]any{
		"Service": service, "Address": p.addr, "Zone": zone, "Version": "v1", "Slots": slots, "State": "ready", "ColdLeftMs": 0,
		"Sequence": 1, "born": time.Now().UnixMilli(),
	})
	r.note("replica %s of %s: process at %s", id, service, p.addr)
	return p, nil
}

func (p *replicaProcess) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended already
	<-p.done
}

// tenantOf returns the Tenant with which a request reached a replica, as text for the record.
func tenantOf(q *request) string {
	b, _ := json.Marshal(q.Header["Tenant"])
	return string(b)
}
