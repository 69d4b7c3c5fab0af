package peer

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	conns "shallotrun/io/conn"
)

// Path is where a VM serves its peers.
const Path = "/peer"

// Bounds of the time between two attempts to dial a peer, and of the incoming connections.
const (
	redialFirst = 100 * time.Millisecond
	redialLast  = 3 * time.Second
	maxIncoming = 2048
	seedPrefix  = "seed "
	ioBuffer    = 1024 // most frames are heartbeats of under 100 bytes
)

// Handler takes the messages of peers. Handle is called on the goroutine that reads the connection and must
// not wait for another peer. Its result answers a request; an empty kind gives no answer.
type Handler interface {
	Handle(e *Envelope) (kind string, body any, err error)
	// Up reports a new connection to or from a peer.
	Up(name string, inc uint64)
}

// Transport holds the connections of one VM. Set the exported fields before Run.
type Transport struct {
	Name    string
	Source  string     // IP address that connections leave from, "" for any
	Inc     uint64     // incarnation of this process
	Keys    [][]byte   // the fleet's key, then the previous one if it is still accepted
	Beat    clock.Span // time between heartbeats
	Handler Handler
	Log     zerolog.Logger

	ctx      context.Context
	wg       sync.WaitGroup
	mu       sync.Mutex
	links    map[string]*link
	incoming map[string]*channel // the latest of each VM
	open     map[*channel]bool   // all incoming ones; a VM may have two, one from its seed and one by name
	accepted int
	closed   bool

	framesIn, framesOut, bytesIn, bytesOut atomic.Uint64
}

// Traffic counts the frames after the handshake, without the overhead of WebSocket and TCP.
type Traffic struct{ FramesIn, FramesOut, BytesIn, BytesOut uint64 }

// link is an outgoing connection that is kept up.
type link struct {
	name, addr string
	stop       context.CancelFunc
	conn       *channel // guarded by Transport.mu
}

// Run prepares the transport. It serves until ctx ends; Wait returns when all connections are closed.
func (t *Transport) Run(ctx context.Context) {
	t.ctx, t.links, t.incoming = ctx, map[string]*link{}, map[string]*channel{}
	t.open = map[*channel]bool{}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		<-ctx.Done()
		t.mu.Lock()
		defer t.mu.Unlock()
		t.closed = true
		for c := range t.open {
			c.close()
		}
		for _, l := range t.links {
			l.stop()
			if l.conn != nil {
				l.conn.close()
			}
		}
	}()
}

// Wait returns after every goroutine of the transport ended.
func (t *Transport) Wait() { t.wg.Wait() }

// Seed keeps a connection to an address whose VM's name is not known yet, until Unseed.
func (t *Transport) Seed(addr string) { t.Connect(seedPrefix+addr, addr) }

// Unseed ends the connection that Seed keeps.
func (t *Transport) Unseed(addr string) { t.Disconnect(seedPrefix + addr) }

// Connect keeps a connection to the VM at addr. The VM has to prove that its name is name.
func (t *Transport) Connect(name, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.links[name]
	if t.closed || old != nil && old.addr == addr {
		return
	}
	if old != nil {
		old.drop()
	}
	ctx, stop := context.WithCancel(t.ctx)
	l := &link{name: name, addr: addr, stop: stop}
	t.links[name] = l
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.keep(ctx, l)
	}()
}

// Disconnect ends the outgoing connection to a VM.
func (t *Transport) Disconnect(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[name]; l != nil {
		delete(t.links, name)
		l.drop()
	}
}

// Send queues a message. An error means that it was not queued.
func (t *Transport) Send(name, kind string, body any) error {
	raw, err := Marshal(body)
	if err != nil {
		return err
	}
	c := t.find(name)
	if c == nil {
		return ErrDown
	}
	return c.send(&Envelope{Kind: kind, Body: raw})
}

// Ask sends a request and reads the answer into reply. It ends at the deadline of ctx at the latest. After
// an error the peer may or may not have acted on the request.
func (t *Transport) Ask(ctx context.Context, name, kind string, body, reply any) error {
	raw, err := Marshal(body)
	if err != nil {
		return err
	}
	c := t.find(name)
	if c == nil {
		return ErrDown
	}
	seq, ch, err := c.expect()
	if err != nil {
		return err
	}
	defer c.forget(seq)
	if err := c.send(&Envelope{Kind: kind, Seq: seq, Body: raw}); err != nil {
		return err
	}
	select {
	case e, ok := <-ch:
		if !ok {
			return oops.Errorf("connection to %s failed before the answer to %s", name, kind)
		}
		return e.Decode(reply)
	case <-ctx.Done():
		return oops.Wrapf(ctx.Err(), "no answer from %s to %s", name, kind)
	}
}

// Reachable reports whether a connection to the VM is up.
func (t *Transport) Reachable(name string) bool { return t.find(name) != nil }

// Traffic returns the counts since Run.
func (t *Transport) Traffic() Traffic {
	return Traffic{t.framesIn.Load(), t.framesOut.Load(), t.bytesIn.Load(), t.bytesOut.Load()}
}

// Serve is the request handler for Path.
func (t *Transport) Serve(ctx *fasthttp.RequestCtx) {
	if err := upgrader.Upgrade(ctx, t.serve); err != nil {
		t.Log.Info().Err(err).Msg("peer: request is not a WebSocket upgrade")
	}
}

func (t *Transport) serve(ws *websocket.Conn) {
	t.mu.Lock()
	if t.closed || t.accepted >= maxIncoming {
		t.mu.Unlock()
		_ = ws.Close()
		return
	}
	t.accepted++
	t.wg.Add(1)
	t.mu.Unlock()
	defer t.wg.Done()
	c, err := t.shake(ws, t.accept)
	if err == nil {
		t.mu.Lock()
		if t.closed {
			c.close()
		}
		t.incoming[c.peer.Name] = c
		t.open[c] = true
		t.mu.Unlock()
		t.Handler.Up(c.peer.Name, c.peer.Inc)
		err = c.run()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted--
	delete(t.open, c)
	if c != nil && t.incoming[c.peer.Name] == c {
		delete(t.incoming, c.peer.Name)
	}
	if t.ctx.Err() == nil {
		t.Log.Info().Err(err).Msg("peer: incoming connection ended")
	}
}

// shake runs a handshake under its limits.
func (t *Transport) shake(ws *websocket.Conn, hello func(*websocket.Conn) (party, error)) (*channel, error) {
	ws.SetReadLimit(maxHello)
	end := time.Now().Add(handshakeTime)
	_ = ws.SetReadDeadline(end)
	_ = ws.SetWriteDeadline(end)
	p, err := hello(ws)
	if err != nil {
		_ = ws.Close()
		return nil, err
	}
	return newConn(t, ws, p), nil
}

// keep dials until ctx ends.
func (t *Transport) keep(ctx context.Context, l *link) {
	wait := redialFirst
	for ctx.Err() == nil {
		began := time.Now()
		err := t.dial(ctx, l)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > redialLast {
			wait = redialFirst
		}
		t.Log.Info().Err(err).Str("peer", l.name).Msg("peer: outgoing connection ended; will redial")
		// Jitter keeps the VMs of a fleet from dialling a restarted VM at the same moment.
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, redialLast)
	}
}

func (t *Transport) dial(ctx context.Context, l *link) error {
	shaking, cancel := context.WithTimeout(ctx, handshakeTime)
	defer cancel()
	from, ws := conns.Dialer(t.Source), dialer
	ws.NetDialContext = from.DialContext
	socket, res, err := ws.DialContext(shaking, "ws://"+l.addr+Path, nil)
	if err != nil {
		return oops.Wrapf(err, "dial %s", l.addr)
	}
	if res.Body != nil {
		_ = res.Body.Close()
	}
	c, err := t.shake(socket, t.greet)
	if err != nil {
		return err
	}
	seed := strings.HasPrefix(l.name, seedPrefix)
	if c.peer.Name == t.Name || c.peer.Name != l.name && !seed {
		c.close()
		return oops.Errorf("the VM at %s is %s, want %s", l.addr, c.peer.Name, l.name)
	}
	t.mu.Lock()
	if ctx.Err() != nil {
		t.mu.Unlock()
		c.close()
		return ctx.Err()
	}
	l.conn = c
	if seed && t.incoming[c.peer.Name] == nil {
		t.incoming[c.peer.Name] = c // reached by name until the VM dials back
	}
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		l.conn = nil
		if t.incoming[c.peer.Name] == c {
			delete(t.incoming, c.peer.Name)
		}
	}()
	t.Handler.Up(c.peer.Name, c.peer.Inc)
	return c.run()
}

func (t *Transport) find(name string) *channel {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[name]; l != nil && l.conn != nil {
		return l.conn
	}
	return t.incoming[name]
}

// silence is how long a connection may carry nothing.
func (t *Transport) silence() time.Duration { return 3 * t.Beat.Std() }

func (t *Transport) count(in, out int) {
	if in > 0 {
		t.framesIn.Add(1)
		t.bytesIn.Add(uint64(in))
	}
	if out > 0 {
		t.framesOut.Add(1)
		t.bytesOut.Add(uint64(out))
	}
}

// drop needs Transport.mu.
func (l *link) drop() {
	l.stop()
	if l.conn != nil {
		l.conn.close()
	}
}

var (
	writeBuffers sync.Pool
	upgrader     = websocket.FastHTTPUpgrader{
		HandshakeTimeout: handshakeTime, ReadBufferSize: ioBuffer, WriteBufferSize: ioBuffer, WriteBufferPool: &writeBuffers,
	}
	dialer = websocket.Dialer{
		HandshakeTimeout: handshakeTime, ReadBufferSize: ioBuffer, WriteBufferSize: ioBuffer, WriteBufferPool: &writeBuffers,
	}
)
