package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/samber/oops"
)

// handshakeTimeout bounds the whole handshake, so that a peer that sends nothing does not occupy a connection.
const handshakeTimeout = 2 * time.Second

// hello is the body of the three handshake frames. The first has the dialler's nonce, the second the acceptor's
// nonce and proofs, the third the dialler's proofs.
type hello struct {
	Nonce []byte   `cbor:"nonce,omitempty"`
	Proof [][]byte `cbor:"proof,omitempty"` // one for each of the sender's keys
}

// endpoint identifies one end of a connection in the handshake.
type endpoint struct {
	Name        string
	Incarnation uint64
	nonce       []byte
}

// dialHandshake runs the dialler's side of the handshake and returns the acceptor.
func (t *Transport) dialHandshake(ws *websocket.Conn) (endpoint, error) {
	self := t.self()
	if err := t.sendHello(ws, hello{Nonce: self.nonce}); err != nil {
		return endpoint{}, err
	}
	other, h, err := readHello(ws)
	if err != nil {
		return endpoint{}, err
	}
	if other.nonce = h.Nonce; !t.verifyProofs(h.Proof, "accept", self, other) {
		return endpoint{}, oops.Errorf("peer %s does not hold the fleet's key", other.Name)
	}
	return other, t.sendHello(ws, hello{Proof: t.proofs("dial", self, other)})
}

// acceptHandshake runs the acceptor's side of the handshake and returns the dialler.
func (t *Transport) acceptHandshake(ws *websocket.Conn) (endpoint, error) {
	self := t.self()
	other, h, err := readHello(ws)
	if err != nil {
		return endpoint{}, err
	}
	other.nonce = h.Nonce
	if len(other.nonce) != sha256.Size {
		return endpoint{}, oops.Errorf("nonce has %d bytes, want %d", len(other.nonce), sha256.Size)
	}
	if err := t.sendHello(ws, hello{Nonce: self.nonce, Proof: t.proofs("accept", other, self)}); err != nil {
		return endpoint{}, err
	}
	last, h, err := readHello(ws)
	if err != nil {
		return endpoint{}, err
	}
	if last.Name != other.Name || last.Incarnation != other.Incarnation || !t.verifyProofs(h.Proof, "dial", other, self) {
		return endpoint{}, oops.Errorf("peer %s does not hold the fleet's key", other.Name)
	}
	return other, nil
}

// self returns this end with a fresh nonce.
func (t *Transport) self() endpoint {
	n := make([]byte, sha256.Size)
	_, _ = rand.Read(n) // never fails since Go 1.24
	return endpoint{Name: t.Name, Incarnation: t.Incarnation, nonce: n}
}

func (t *Transport) sendHello(ws *websocket.Conn, h hello) error {
	body, err := Marshal(h)
	if err != nil {
		return err
	}
	b, err := encode(&Envelope{Kind: KindHello, From: t.Name, Incarnation: t.Incarnation, Body: body})
	if err != nil {
		return err
	}
	return ws.WriteMessage(websocket.BinaryMessage, b)
}

func readHello(ws *websocket.Conn) (endpoint, hello, error) {
	var e Envelope
	var h hello
	_, b, err := ws.ReadMessage()
	if err != nil {
		return endpoint{}, h, oops.Wrapf(err, "handshake")
	}
	if err := decode(b, &e); err != nil {
		return endpoint{}, h, oops.Wrapf(err, "handshake")
	}
	if e.Kind != KindHello || e.From == "" || len(e.From) > maxName {
		return endpoint{}, h, oops.Errorf("handshake: frame is not a hello with a name")
	}
	return endpoint{Name: e.From, Incarnation: e.Incarnation}, h, e.Decode(&h)
}

// proofs returns one proof for each of the sender's keys, because the receiver may hold only one of them.
func (t *Transport) proofs(role string, dialler, acceptor endpoint) [][]byte {
	var ps [][]byte
	for _, k := range t.keys() {
		ps = append(ps, proof(k, role, dialler, acceptor))
	}
	return ps
}

// verifyProofs reports whether one of the proofs was made with one of the accepted keys.
func (t *Transport) verifyProofs(ps [][]byte, role string, dialler, acceptor endpoint) bool {
	if len(ps) > maxKeys || len(dialler.nonce) != sha256.Size || len(acceptor.nonce) != sha256.Size {
		return false
	}
	for _, k := range t.keys() {
		for _, p := range ps {
			if hmac.Equal(p, proof(k, role, dialler, acceptor)) {
				return true
			}
		}
	}
	return false
}

// proof returns the HMAC over the role, so that a proof cannot be sent back to its author, and over both names,
// incarnations and nonces. Each part is preceded by its length.
func proof(key []byte, role string, dialler, acceptor endpoint) []byte {
	m := hmac.New(sha256.New, key)
	put := func(b []byte) {
		m.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		m.Write(b)
	}
	put([]byte(role))
	for _, p := range []endpoint{dialler, acceptor} {
		put([]byte(p.Name))
		put(binary.BigEndian.AppendUint64(nil, p.Incarnation))
		put(p.nonce)
	}
	return m.Sum(nil)
}
