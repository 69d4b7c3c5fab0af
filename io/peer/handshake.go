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

// The whole handshake has to end within this time, so that a peer that says nothing holds no connection.
const handshakeTime = 2 * time.Second

// hello is the body of the three handshake frames: the dialler's nonce; the acceptor's nonce and proof; the
// dialler's proof.
type hello struct {
	Nonce []byte   `cbor:"nonce,omitempty"`
	Proof [][]byte `cbor:"proof,omitempty"` // one for each key of the sender
}

// party is one end as the handshake sees it.
type party struct {
	Name  string
	Inc   uint64
	nonce []byte
}

// greet runs the dialler's side.
func (t *Transport) greet(ws *websocket.Conn) (party, error) {
	self := t.party()
	if err := t.hello(ws, hello{Nonce: self.nonce}); err != nil {
		return party{}, err
	}
	other, h, err := readHello(ws)
	if err != nil {
		return party{}, err
	}
	if other.nonce = h.Nonce; !t.proven(h.Proof, "accept", self, other) {
		return party{}, oops.Errorf("peer %s does not hold the fleet's key", other.Name)
	}
	return other, t.hello(ws, hello{Proof: t.proofs("dial", self, other)})
}

// accept runs the acceptor's side.
func (t *Transport) accept(ws *websocket.Conn) (party, error) {
	self := t.party()
	other, h, err := readHello(ws)
	if err != nil {
		return party{}, err
	}
	other.nonce = h.Nonce
	if len(other.nonce) != sha256.Size {
		return party{}, oops.Errorf("nonce has %d bytes, want %d", len(other.nonce), sha256.Size)
	}
	if err := t.hello(ws, hello{Nonce: self.nonce, Proof: t.proofs("accept", other, self)}); err != nil {
		return party{}, err
	}
	last, h, err := readHello(ws)
	if err != nil {
		return party{}, err
	}
	if last.Name != other.Name || last.Inc != other.Inc || !t.proven(h.Proof, "dial", other, self) {
		return party{}, oops.Errorf("peer %s does not hold the fleet's key", other.Name)
	}
	return other, nil
}

func (t *Transport) party() party {
	n := make([]byte, sha256.Size)
	_, _ = rand.Read(n) // never fails since Go 1.24
	return party{Name: t.Name, Inc: t.Inc, nonce: n}
}

func (t *Transport) hello(ws *websocket.Conn, h hello) error {
	body, err := Marshal(h)
	if err != nil {
		return err
	}
	b, err := encode(&Envelope{Kind: KindHello, From: t.Name, Inc: t.Inc, Body: body})
	if err != nil {
		return err
	}
	return ws.WriteMessage(websocket.BinaryMessage, b)
}

func readHello(ws *websocket.Conn) (party, hello, error) {
	var e Envelope
	var h hello
	_, b, err := ws.ReadMessage()
	if err != nil {
		return party{}, h, oops.Wrapf(err, "handshake")
	}
	if err := decode(b, &e); err != nil {
		return party{}, h, oops.Wrapf(err, "handshake")
	}
	if e.Kind != KindHello || e.From == "" || len(e.From) > maxName {
		return party{}, h, oops.Errorf("handshake: first frame is not a hello with a name")
	}
	return party{Name: e.From, Inc: e.Inc}, h, e.Decode(&h)
}

// proofs returns one proof for each of the sender's keys: the receiver may know only one of them.
func (t *Transport) proofs(role string, dialler, acceptor party) [][]byte {
	var ps [][]byte
	for _, k := range t.Keys {
		ps = append(ps, proof(k, role, dialler, acceptor))
	}
	return ps
}

func (t *Transport) proven(ps [][]byte, role string, dialler, acceptor party) bool {
	if len(ps) > 2 || len(dialler.nonce) != sha256.Size || len(acceptor.nonce) != sha256.Size {
		return false
	}
	for _, k := range t.Keys {
		for _, p := range ps {
			if hmac.Equal(p, proof(k, role, dialler, acceptor)) {
				return true
			}
		}
	}
	return false
}

// proof covers the role, so that a proof cannot be sent back to its author, and both names, incarnations
// and nonces, each behind its length.
func proof(key []byte, role string, dialler, acceptor party) []byte {
	m := hmac.New(sha256.New, key)
	put := func(b []byte) {
		m.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		m.Write(b)
	}
	put([]byte(role))
	for _, p := range []party{dialler, acceptor} {
		put([]byte(p.Name))
		put(binary.BigEndian.AppendUint64(nil, p.Inc))
		put(p.nonce)
	}
	return m.Sum(nil)
}
