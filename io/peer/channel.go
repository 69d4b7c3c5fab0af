package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/samber/oops"
)

// Lengths of the two send queues of a connection. 256 copies are about 50 s of work at the mean rate of a VM
// in the large fleet, and a longer queue costs memory on each of its 120 connections. A heartbeat older
// than three others is worthless.
const (
	queueLen = 256
	beatLen  = 3
)

// Errors of Send and Ask.
var (
	ErrFull = oops.Errorf("send queue to the peer is full")
	ErrDown = oops.Errorf("no connection to the peer")
)

// channel is an authenticated connection in either direction.
type channel struct {
	t     *Transport
	ws    *websocket.Conn
	peer  party
	queue chan []byte
	beats chan []byte
	done  chan struct{}
	once  sync.Once
	seq   atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]chan *Envelope
}

func newConn(t *Transport, ws *websocket.Conn, p party) *channel {
	return &channel{
		t: t, ws: ws, peer: p, done: make(chan struct{}), pending: map[uint64]chan *Envelope{},
		queue: make(chan []byte, queueLen), beats: make(chan []byte, beatLen),
	}
}

// run reads and writes until the connection fails or is closed.
func (c *channel) run() error {
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

func (c *channel) close() {
	c.once.Do(func() {
		close(c.done)
		// fasthttp ignores Close on a connection that its server accepted and closes it when the reader
		// returns; the deadline ends the reader.
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

func (c *channel) read() error {
	c.ws.SetReadLimit(MaxFrame)
	// A silent connection gives no error by itself: the deadline ends it after three heartbeats.
	alive := func(string) error {
		select {
		case <-c.done:
			return ErrDown
		default:
			return c.ws.SetReadDeadline(time.Now().Add(c.t.silence()))
		}
	}
	c.ws.SetPongHandler(alive)
	c.ws.SetPingHandler(func(string) error {
		if err := alive(""); err != nil {
			return err
		}
		return c.ws.WriteControl(websocket.PongMessage, nil, time.Now().Add(c.t.silence()))
	})
	for {
		if err := alive(""); err != nil {
			return err
		}
		_, b, err := c.ws.ReadMessage()
		if err != nil {
			return oops.Wrapf(err, "peer %s", c.peer.Name)
		}
		c.t.count(len(b), 0)
		e := &Envelope{}
		if err := decode(b, e); err != nil {
			return oops.Wrapf(err, "peer %s: frame", c.peer.Name)
		}
		e.From, e.Inc = c.peer.Name, c.peer.Inc
		if err := c.dispatch(e); err != nil {
			return err
		}
	}
}

func (c *channel) dispatch(e *Envelope) error {
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
	if e.Kind == KindBeat {
		// The empty pong shows the sender that this connection still carries frames.
		deadline := time.Now().Add(c.t.silence())
		if err := c.ws.WriteControl(websocket.PongMessage, nil, deadline); err != nil {
			return oops.Wrapf(err, "peer %s", c.peer.Name)
		}
	}
	kind, body, err := c.t.Handler.Handle(e)
	if err != nil {
		c.t.Log.Warn().Err(err).Str("peer", c.peer.Name).Msg("peer: message refused")
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

func (c *channel) send(e *Envelope) error {
	b, err := encode(e)
	if err != nil {
		return err
	}
	select {
	case <-c.done:
		return ErrDown
	default:
	}
	if e.Kind != KindBeat {
		select {
		case c.queue <- b:
			return nil
		default:
			return ErrFull
		}
	}
	for {
		select {
		case c.beats <- b:
			return nil
		default:
		}
		select {
		case <-c.beats:
		default:
		}
	}
}

func (c *channel) write() {
	// A connection that carries no heartbeats, such as one to a claim's holder, is kept alive by pings.
	idle := time.NewTimer(c.t.Beat.Std())
	defer idle.Stop()
	for {
		var b []byte
		idle.Reset(c.t.Beat.Std())
		select {
		case <-c.done:
			return
		case <-idle.C:
			if err := c.ws.WriteControl(websocket.PingMessage, nil, time.Now().Add(c.t.silence())); err != nil {
				c.close()
				return
			}
			continue
		case b = <-c.queue:
		case b = <-c.beats:
		}
		if err := c.ws.SetWriteDeadline(time.Now().Add(c.t.silence())); err != nil {
			c.close()
			return
		}
		if err := c.ws.WriteMessage(websocket.BinaryMessage, b); err != nil {
			c.close()
			return
		}
		c.t.count(0, len(b))
	}
}

// expect registers a request. The channel is closed when the connection fails.
func (c *channel) expect() (uint64, chan *Envelope, error) {
	seq, ch := c.seq.Add(1), make(chan *Envelope, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		return 0, nil, ErrDown
	}
	c.pending[seq] = ch
	return seq, ch, nil
}

func (c *channel) forget(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, seq)
}
