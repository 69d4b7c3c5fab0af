package peer

import (
	"bytes"
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

// Path is the URL path at which a VM accepts the connections of its peers.
const Path = "/peer"

const (
	minRedialDelay = 100 * time.Millisecond // mean delay before the first redial, doubled after each further failure
	maxRedialDelay = 3 * time.Second        // upper bound of the mean delay
	maxIncoming    = 2048                   // incoming connections, including those in the handshake
	seedPrefix     = "seed "                // with the address, the name of a link to a VM whose name is not known
	ioBuffer       = 1024                   // bytes; most frames are heartbeats of under 100 bytes
)

// Handler receives the messages of peers. Its methods must be safe for concurrent use.
type Handler interface {
	// Handle processes one message. It is called on the goroutine that reads the connection, so it must not wait
	// for another peer. If the sender expects a reply, kind and body are sent as the reply; an empty kind sends none.
	// An error is logged, and no reply is sent.
	Handle(e *Envelope) (kind string, body any, err error)
	// Connected is called for each new connection, dialled or accepted, before its first message.
	Connected(name string, incarnation uint64)
}

// Transport holds the connections of one VM. Set the exported fields before Run; after that its methods are safe for
// concurrent use.
type Transport struct {
	Name              string
	Source            string     // local IP address of outgoing connections, "" for any
	Incarnation       uint64     // incarnation of this process
	Keys              [][]byte   // the fleet's key, followed by the previous one while it is still accepted; guarded by mu after Run
	HeartbeatInterval clock.Span // time between heartbeats
	Handler           Handler
	Log               zerolog.Logger

	ctx      context.Context
	wg       sync.WaitGroup
	mu       sync.Mutex
	links    map[string]*link
	incoming map[string]*connection // by VM: the latest accepted connection, or one dialled by seed address until the VM dials back
	open     map[*connection]bool   // all accepted ones; a VM may have two, one that it dialled by seed address and one by name
	accepted int                    // incoming connections, including those in the handshake
	closed   bool

	framesIn, framesOut, bytesIn, bytesOut atomic.Uint64
}

// Traffic counts frames and their payload bytes after the handshake, without the overhead of WebSocket and TCP.
type Traffic struct{ FramesIn, FramesOut, BytesIn, BytesOut uint64 }

// link is an outgoing connection that is redialled whenever it fails.
type link struct {
	name, addr string
	stop       context.CancelFunc
	conn       *connection // guarded by Transport.mu
}

// maxKeys is the number of keys that are accepted.
const maxKeys = 2

// Key returns the fleet's key.
func (t *Transport) Key() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Keys[0]
}

// AcceptKey makes a key the fleet's key, and goes on to accept the one before. Open connections stay.
func (t *Transport) AcceptKey(key []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if bytes.Equal(key, t.Keys[0]) {
		return
	}
	t.Keys = [][]byte{key, t.Keys[0]}
}

// keys returns the accepted keys.
func (t *Transport) keys() [][]byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Keys
}

// Run starts the transport and returns at once. When ctx ends, all connections are closed; Wait waits for that.
func (t *Transport) Run(ctx context.Context) {
	t.ctx, t.links, t.incoming = ctx, map[string]*link{}, map[string]*connection{}
	t.open = map[*connection]bool{}
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

// Wait returns when every goroutine of the transport has ended.
func (t *Transport) Wait() { t.wg.Wait() }

// ConnectSeed keeps a connection to the VM at addr, whose name is not known yet, until DisconnectSeed.
func (t *Transport) ConnectSeed(addr string) { t.Connect(seedPrefix+addr, addr) }

// DisconnectSeed closes the connection that ConnectSeed keeps.
func (t *Transport) DisconnectSeed(addr string) { t.Disconnect(seedPrefix + addr) }

// Connect keeps a connection to the VM at addr until Disconnect. A connection to a VM that authenticates under another
// name is closed and redialled. Connect with another address replaces the connection.
func (t *Transport) Connect(name, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.links[name]
	if t.closed || old != nil && old.addr == addr {
		return
	}
	if old != nil {
		old.close()
	}
	ctx, stop := context.WithCancel(t.ctx)
	l := &link{name: name, addr: addr, stop: stop}
	t.links[name] = l
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.keepConnected(ctx, l)
	}()
}

// Disconnect closes the outgoing connection to a VM and ends redialling.
func (t *Transport) Disconnect(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[name]; l != nil {
		delete(t.links, name)
		l.close()
	}
}

// Send queues a message without waiting. An error means that it was not queued; without an error, the message can
// still be lost if the connection fails.
func (t *Transport) Send(name, kind string, body any) error {
	raw, err := Marshal(body)
	if err != nil {
		return err
	}
	c := t.connectionTo(name)
	if c == nil {
		return ErrNotConnected
	}
	return c.send(&Envelope{Kind: kind, Body: raw})
}

// Request sends a request and decodes the peer's reply into reply. It returns when ctx ends at the latest. After an
// error it is unknown whether the peer processed the request.
func (t *Transport) Request(ctx context.Context, name, kind string, body, reply any) error {
	raw, err := Marshal(body)
	if err != nil {
		return err
	}
	c := t.connectionTo(name)
	if c == nil {
		return ErrNotConnected
	}
	seq, ch, err := c.registerRequest()
	if err != nil {
		return err
	}
	defer c.unregisterRequest(seq)
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

// Reachable reports whether a connection to or from the VM is open.
func (t *Transport) Reachable(name string) bool { return t.connectionTo(name) != nil }

// Traffic returns the counts since Run.
func (t *Transport) Traffic() Traffic {
	return Traffic{t.framesIn.Load(), t.framesOut.Load(), t.bytesIn.Load(), t.bytesOut.Load()}
}

// Serve handles the HTTP requests for Path by upgrading them to WebSocket connections.
func (t *Transport) Serve(ctx *fasthttp.RequestCtx) {
	if err := upgrader.Upgrade(ctx, t.serveIncoming); err != nil {
		t.Log.Info().Err(err).Msg("peer: request is not a WebSocket upgrade")
	}
}

// serveIncoming runs an accepted connection until it fails or is closed. Above maxIncoming it is closed at once.
func (t *Transport) serveIncoming(ws *websocket.Conn) {
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
	c, err := t.handshake(ws, t.acceptHandshake)
	if err == nil {
		t.mu.Lock()
		if t.closed {
			c.close()
		}
		t.incoming[c.peer.Name] = c
		t.open[c] = true
		t.mu.Unlock()
		t.Handler.Connected(c.peer.Name, c.peer.Incarnation)
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

// handshake runs one side of the handshake with its time and frame size limits.
func (t *Transport) handshake(ws *websocket.Conn, authenticate func(*websocket.Conn) (endpoint, error)) (*connection, error) {
	ws.SetReadLimit(maxHello)
	end := time.Now().Add(handshakeTimeout)
	_ = ws.SetReadDeadline(end)
	_ = ws.SetWriteDeadline(end)
	p, err := authenticate(ws)
	if err != nil {
		_ = ws.Close()
		return nil, err
	}
	return newConnection(t, ws, p), nil
}

// keepConnected dials the VM again after each failure, with jittered exponential backoff, until ctx ends.
func (t *Transport) keepConnected(ctx context.Context, l *link) {
	wait := minRedialDelay
	for ctx.Err() == nil {
		began := time.Now()
		err := t.dial(ctx, l)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > maxRedialDelay {
			wait = minRedialDelay
		}
		t.Log.Info().Err(err).Str("peer", l.name).Msg("peer: outgoing connection ended; will redial")
		// Jitter prevents all VMs of a fleet from dialling a restarted VM at the same moment.
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, maxRedialDelay)
	}
}

// dial opens and runs one outgoing connection. It returns the error that ended it.
func (t *Transport) dial(ctx context.Context, l *link) error {
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	from, ws := conns.Dialer(t.Source), dialer
	ws.NetDialContext = from.DialContext
	socket, res, err := ws.DialContext(handshakeCtx, "ws://"+l.addr+Path, nil)
	if err != nil {
		return oops.Wrapf(err, "dial %s", l.addr)
	}
	if res.Body != nil {
		_ = res.Body.Close()
	}
	c, err := t.handshake(socket, t.dialHandshake)
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
		t.incoming[c.peer.Name] = c // the VM can be reached by name before it dials back
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
	t.Handler.Connected(c.peer.Name, c.peer.Incarnation)
	return c.run()
}

// connectionTo returns an open connection to or from the VM, nil if there is none. Outgoing ones are preferred.
func (t *Transport) connectionTo(name string) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[name]; l != nil && l.conn != nil {
		return l.conn
	}
	return t.incoming[name]
}

// idleTimeout is the time after which a connection on which nothing arrives is closed.
func (t *Transport) idleTimeout() time.Duration { return 3 * t.HeartbeatInterval.Std() }

// countFrames counts a frame of in bytes that was received and one of out bytes that was sent; 0 means none.
func (t *Transport) countFrames(in, out int) {
	if in > 0 {
		t.framesIn.Add(1)
		t.bytesIn.Add(uint64(in))
	}
	if out > 0 {
		t.framesOut.Add(1)
		t.bytesOut.Add(uint64(out))
	}
}

// close ends redialling and closes the connection. The caller holds Transport.mu.
func (l *link) close() {
	l.stop()
	if l.conn != nil {
		l.conn.close()
	}
}

var (
	writeBuffers sync.Pool
	upgrader     = websocket.FastHTTPUpgrader{
		HandshakeTimeout: handshakeTimeout, ReadBufferSize: ioBuffer, WriteBufferSize: ioBuffer, WriteBufferPool: &writeBuffers,
	}
	dialer = websocket.Dialer{
		HandshakeTimeout: handshakeTimeout, ReadBufferSize: ioBuffer, WriteBufferSize: ioBuffer, WriteBufferPool: &writeBuffers,
	}
)
