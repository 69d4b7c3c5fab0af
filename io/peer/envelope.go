package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// Limits on what is read from a peer.
const (
	MaxFrame    = 1 << 20 // bytes
	MaxNesting  = 8
	MaxElements = 10000 // of an array
	MaxPairs    = 1000  // of a map
	maxHello    = 4096  // bytes of a frame before the peer is authenticated
	maxName     = 128   // bytes of a VM's name
)

// Kinds of envelopes. See the design page, section 4.4.
const (
	KindHello  = "hello"
	KindBeat   = "beat"
	KindView   = "view"
	KindDoc    = "doc"
	KindWant   = "want"
	KindClaim  = "claim"
	KindVoted  = "voted"
	KindTable  = "table"
	KindPull   = "pull"
	KindRoster = "roster"
	KindCopy   = "copy"
	KindCopied = "copied"
	KindTake   = "take"
	KindTaken  = "taken"
	KindSealed = "sealed"
	KindHalt   = "halt"
	KindTally  = "tally"
	KindLeft   = "left"
	KindAsk    = "ask"
	KindGrant  = "grant"
	KindBye    = "bye"
	KindFeed   = "feed" // what the platform's store says, from a VM that asks it
)

// Envelope is one frame. From and Inc are sent in the hello only; the receiver fills them in on later
// frames from what the handshake proved.
type Envelope struct {
	Kind string          `cbor:"kind"`
	From string          `cbor:"from,omitempty"`
	Inc  uint64          `cbor:"inc,omitempty"`
	Seq  uint64          `cbor:"seq,omitempty"` // set when a reply is expected
	Ack  uint64          `cbor:"ack,omitempty"` // in a reply: the Seq that it answers
	Body cbor.RawMessage `cbor:"body,omitempty"`
}

// Decode reads the body of an envelope into v, within the limits.
func (e *Envelope) Decode(v any) error {
	if err := decoder.Unmarshal(e.Body, v); err != nil {
		return oops.Wrapf(err, "peer %s: body of %s", e.From, e.Kind)
	}
	return nil
}

// Marshal encodes v as the body of an envelope.
func Marshal(v any) (cbor.RawMessage, error) {
	if v == nil {
		return nil, nil
	}
	b, err := encoder.Marshal(v)
	if err != nil {
		return nil, oops.Wrapf(err, "encode %T", v)
	}
	return b, nil
}

// Unmarshal reads what Marshal encoded, within the limits.
func Unmarshal(b []byte, v any) error { return oops.Wrapf(decoder.Unmarshal(b, v), "decode %T", v) }

func encode(e *Envelope) ([]byte, error) {
	b, err := encoder.Marshal(e)
	if err != nil {
		return nil, oops.Wrapf(err, "encode %s", e.Kind)
	}
	if len(b) > MaxFrame {
		return nil, oops.Errorf("%s has %d bytes, the limit is %d", e.Kind, len(b), MaxFrame)
	}
	return b, nil
}

func decode(b []byte, e *Envelope) error {
	return decoder.Unmarshal(b, e)
}

var (
	encoder = mode(cbor.EncOptions{}.EncMode())
	decoder = mode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  MaxNesting,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

// mode fails at program start when the options above are contradictory.
func mode[T any](m T, err error) T {
	if err != nil {
		panic(err)
	}
	return m
}
