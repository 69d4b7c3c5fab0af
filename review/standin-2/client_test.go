package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// apiKey is the key of the only tenant, host the host of all routes.
const (
	apiKey = "n2ctnfzs989anu6wsjnb"
	host   = "ficu95.example"
)

// outcome is how a client attempt ended.
type outcome struct {
	id     string
	status int    // 0 if no answer came
	whole  bool   // the answer came with its whole body
	kept   bool   // an earlier request was answered on the connection
	to     string // address of the machine
	sent   bool   // the request was written
	at     time.Time
}

// clients are clients that keep their connections open and send requests at a machine.
type clients struct {
	w        *world
	target   func() string // address of a machine
	method   string
	path     string
	body     string
	deadline time.Duration
	fresh    bool          // each request comes on a new connection
	idle     bool          // each request comes on a new connection, and the one before is closed only then
	headers  func() string // further headers of a request, nil for none

	mu       sync.Mutex
	outcomes []outcome
	stop     atomic.Bool
	wg       sync.WaitGroup
}

var lastRequest atomic.Int64

// run lets one client send a request each period, on one connection as long as that is open.
func (c *clients) run(first, period time.Duration) {
	defer c.wg.Done()
	var conn net.Conn
	var br *bufio.Reader
	kept, to := false, ""
	var before net.Conn // with idle: the connection of the request before
	defer func() {
		if conn != nil {
			conn.Close()
		}
		if before != nil {
			before.Close()
		}
	}()
	next := time.Now().Add(first)
	for !c.stop.Load() {
		time.Sleep(time.Until(next))
		next = next.Add(period)
		if now := time.Now(); next.Before(now) {
			next = now
		}
		if c.stop.Load() {
			return
		}
		if conn == nil {
			to = c.target()
			d, err := net.DialTimeout("tcp", to, time.Second)
			if err != nil {
				c.add(outcome{id: "none", at: time.Now()})
				continue
			}
			conn, br, kept = d, bufio.NewReader(d), false
		}
		o, open := c.send(conn, br)
		o.kept, o.to = kept, to
		c.add(o)
		kept = open
		if before != nil {
			before.Close()
			before = nil
		}
		if open && c.idle {
			before, conn = conn, nil
			continue
		}
		if !open || c.fresh {
			conn.Close()
			conn = nil
		}
	}
}

// send sends one request and reads its answer. open tells whether the connection can be used again.
func (c *clients) send(conn net.Conn, br *bufio.Reader) (o outcome, open bool) {
	o.id = fmt.Sprintf("%016x", lastRequest.Add(1))
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	headers := ""
	if c.headers != nil {
		headers = c.headers()
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		c.method, c.path, host, o.id, c.deadline.Milliseconds(), apiKey, headers, len(c.body), c.body)
	c.w.note("sent %s", o.id)
	defer func() {
		o.at = time.Now()
		c.w.note("answered %s: status %d, whole %v", o.id, o.status, o.whole)
	}()
	if _, err := io.WriteString(conn, text); err != nil {
		return o, false
	}
	o.sent = true
	q := &http.Request{Method: c.method}
	resp, err := http.ReadResponse(br, q)
	if err != nil {
		return o, false
	}
	o.status = resp.StatusCode
	_, err = io.Copy(io.Discard, resp.Body)
	o.whole = err == nil
	return o, o.whole && !resp.Close && !strings.EqualFold(resp.Header.Get("Connection"), "close")
}

func (c *clients) add(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// begin starts n clients, each of which sends a request each period; their requests are spread evenly over a part of it.
func (c *clients) begin(n int, period, part time.Duration) {
	for i := range n {
		c.wg.Add(1)
		go c.run(time.Duration(i)*part/time.Duration(n), period)
	}
}

func (c *clients) end() {
	c.stop.Store(true)
	c.wg.Wait()
}

// lost returns the requests that a machine passed on from a kept connection to a replica, and whose connection it closed without an answer.
func (c *clients) lost(m *machine) (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		if o.kept && o.sent && o.status == 0 && o.to == m.front && c.w.runsOf(o.id) > 0 {
			out = append(out, o.id)
		}
	}
	return out
}

// count returns how many requests were sent, and how many were answered with success.
func (c *clients) count() (all, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		all++
		if o.status == 200 && o.whole {
			served++
		}
	}
	return all, served
}

// route is a route of the operator's configuration.
type route map[string]any

// config returns a configuration with the routes, which have a timeout unless they name one.
func config(version int, service string, routes []route, timeout time.Duration) map[string]any {
	for _, r := range routes {
		if r["TimeoutMs"] == nil {
			r["TimeoutMs"] = timeout.Milliseconds()
		}
	}
	return map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": service, "HealthPath": "/health", "MaxConns": 370, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []map[string]any{{"Name": "hule930", "ApiKeys": []string{apiKey}, "Priority": 1}},
	}
}

// plainRoute returns a route to a plain service.
func plainRoute(name, prefix, kind, service string) route {
	return route{"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TargetLatencyMs": 500,
		"Priority": 2, "Service": service, "MaxAttempts": 3, "Public": false, "Sticky": false, "Resumable": false}
}
