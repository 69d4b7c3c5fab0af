package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/samber/oops"
)

// Lengths of the two send queues of a connection, in messages. 256 bill copies are what a VM of the large fleet sends
// in about 50 s at its mean rate; a longer queue would cost memory on each of its 120 connections. A heartbeat
// followed by three newer ones has no value.
const (
	sendQueueLen      = 256
	heartbeatQueueLen = 3
)

// Errors of [Transport.Send] and [Transport.Request].
var (
	ErrQueueFull    = oops.Errorf("send queue to the peer is full")
	ErrNotConnected = oops.Errorf("no connection to the peer")
)

// connection is an authenticated connection, dialled or accepted.
type connection struct {
	t          *Transport
	ws         *websocket.Conn
	peer       endpoint
	queue      chan []byte
	heartbeats chan []byte
	done       chan struct{}
	once       sync.Once
	seq        atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]chan *Envelope
}

func newConnection(t *Transport, ws *websocket.Conn, p endpoint) *connection {
	return &connection{
		t: t, ws: ws, peer: p, done: make(chan struct{}), pending: map[uint64]chan *Envelope{},
		queue: make(chan []byte, sendQueueLen), heartbeats: make(chan []byte, heartbeatQueueLen),
	}
}

// run reads and writes frames until the connection fails or is closed. It returns the error that ended reading.
func (c *connection) run() error {
	wrote := make(chan struct{})
	go func() {
		defer close(wrote)
		c.write()
	}()
	err := c.read()
	c.close()
	<-wrote
	return err
}

func (c *connection) close() {
	c.once.Do(func() {
		close(c.done)
		// fasthttp ignores Close on a connection that its server accepted, and closes it only when the
		// reader returns. The expired deadline makes the reader return.
		_ = c.ws.SetReadDeadline(time.Now())
		_ = c.ws.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		for seq, ch := range c.pending {
			close(ch)
			delete(c.pending, seq)
		}
		c.pending = nil
	})
}

func (c *connection) read() error {
	c.ws.SetReadLimit(MaxFrame)
	// A connection that carries nothing gives no error by itself: the deadline closes it after the idle timeout.
	extendDeadline := func(string) error {
		select {
		case <-c.done:
			return ErrNotConnected
		default:
			return c.ws.SetReadDeadline(time.Now().Add(c.t.idleTimeout()))
		}
	}
	c.ws.SetPongHandler(extendDeadline)
	c.ws.SetPingHandler(func(string) error {
		if err := extendDeadline(""); err != nil {
			return err
		}
		return c.ws.WriteControl(websocket.PongMessage, nil, time.Now().Add(c.t.idleTimeout()))
	})
	for {
		if err := extendDeadline(""); err != nil {
			return err
		}
		_, b, err := c.ws.ReadMessage()
		if err != nil {
			return oops.Wrapf(err, "peer %s", c.peer.Name)
		}
		c.t.countFrames(len(b), 0)
		e := &Envelope{}
		if err := decode(b, e); err != nil {
			return oops.Wrapf(err, "peer %s: frame", c.peer.Name)
		}
		e.From, e.Incarnation = c.peer.Name, c.peer.Incarnation
		if err := c.dispatch(e); err != nil {
			return err
		}
	}
}

// dispatch passes a reply to the request that waits for it, and any other message to the handler, whose result it
// sends back if the sender expects a reply. An error closes the connection.
func (c *connection) dispatch(e *Envelope) error {
	if e.Ack != 0 {
		c.mu.Lock()
		ch := c.pending[e.Ack]
		delete(c.pending, e.Ack)
		c.mu.Unlock()
		if ch != nil {
			ch <- e
		}
		return nil
	}
	if e.Kind == KindHeartbeat {
		// The empty pong extends the sender's read deadline on this connection.
		deadline := time.Now().Add(c.t.idleTimeout())
		if err := c.ws.WriteControl(websocket.PongMessage, nil, deadline); err != nil {
			return oops.Wrapf(err, "peer %s", c.peer.Name)
		}
	}
	kind, body, err := c.t.Handler.Handle(e)
	if err != nil {
		c.t.Log.Warn().Err(err).Str("peer", c.peer.Name).Msg("peer: handler refused the message")
		return nil
	}
	if e.Seq == 0 || kind == "" {
		return nil
	}
	raw, err := Marshal(body)
	if err != nil {
		return err
	}
	if err := c.send(&Envelope{Kind: kind, Ack: e.Seq, Body: raw}); err != nil {
		c.t.Log.Warn().Err(err).Str("peer", c.peer.Name).Msg("peer: reply not sent")
	}
	return nil
}

// send queues an envelope without waiting. A heartbeat replaces the oldest queued one if their queue is full.
func (c *connection) send(e *Envelope) error {
	b, err := encode(e)
	if err != nil {
		return err
	}
	select {
	case <-c.done:
		return ErrNotConnected
	default:
	}
	if e.Kind != KindHeartbeat {
		select {
		case c.queue <- b:
			return nil
		default:
			return ErrQueueFull
		}
	}
	for {
		select {
		case c.heartbeats <- b:
			return nil
		default:
		}
		select {
		case <-c.heartbeats:
		default:
		}
	}
}

func (c *connection) write() {
	// Pings keep a connection open that carries no heartbeats, such as one to the holder of a claim.
	idle := time.NewTimer(c.t.HeartbeatInterval.Std())
	defer idle.Stop()
	for {
		var b []byte
		idle.Reset(c.t.HeartbeatInterval.Std())
		select {
		case <-c.done:
			return
		case <-idle.C:
			if err := c.ws.WriteControl(websocket.PingMessage, nil, time.Now().Add(c.t.idleTimeout())); err != nil {
				c.close()
				return
			}
			continue
		case b = <-c.queue:
		case b = <-c.heartbeats:
		}
		if err := c.ws.SetWriteDeadline(time.Now().Add(c.t.idleTimeout())); err != nil {
			c.close()
			return
		}
		if err := c.ws.WriteMessage(websocket.BinaryMessage, b); err != nil {
			c.close()
			return
		}
		c.t.countFrames(0, len(b))
	}
}

// registerRequest returns a new sequence number and the channel that receives the reply. The channel is closed when
// the connection fails.
func (c *connection) registerRequest() (uint64, chan *Envelope, error) {
	seq, ch := c.seq.Add(1), make(chan *Envelope, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		return 0, nil, ErrNotConnected
	}
	c.pending[seq] = ch
	return seq, ch, nil
}

func (c *connection) unregisterRequest(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, seq)
}
