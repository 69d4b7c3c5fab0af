package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// Limits on frames from a peer.
const (
	MaxFrame    = 1 << 20 // bytes
	MaxNesting  = 8
	MaxElements = 10000 // in an array
	MaxPairs    = 1000  // in a map
	maxHello    = 4096  // bytes in a frame before the peer is authenticated
	maxName     = 128   // bytes in a VM's name
)

// Kinds of envelopes; section 4.4 of the design page describes them. KindAsk and KindGrant are not sent by this version.
const (
	KindHello           = "hello"
	KindHeartbeat       = "beat"
	KindView            = "view"
	KindDocument        = "doc"
	KindDocumentRequest = "want"
	KindVoteRequest     = "claim"
	KindVote            = "voted"
	KindTable           = "table"
	KindPull            = "pull"
	KindRoster          = "roster"
	KindCopy            = "copy"
	KindCopied          = "copied"
	KindTakeover        = "take"
	KindTakeoverReply   = "taken"
	KindStored          = "sealed"
	KindHalts           = "halt"
	KindCounters        = "tally"
	KindServerMarks     = "left"
	KindAsk             = "ask"
	KindGrant           = "grant"
	KindLeave           = "bye"
	KindFeed            = "feed" // data of the platform's store, relayed by a VM that reads it to its followers
)

// Envelope is the content of one frame. From and Incarnation are sent in the handshake only; on later frames the receiver
// sets them to the values that the handshake authenticated.
type Envelope struct {
	Kind        string          `cbor:"kind"`
	From        string          `cbor:"from,omitempty"`
	Incarnation uint64          `cbor:"inc,omitempty"`
	Seq         uint64          `cbor:"seq,omitempty"` // sequence number of a request, 0 if no reply is expected
	Ack         uint64          `cbor:"ack,omitempty"` // in a reply: the Seq of the request, otherwise 0
	Body        cbor.RawMessage `cbor:"body,omitempty"`
}

// Decode decodes the body of an envelope into v and applies the limits.
func (e *Envelope) Decode(v any) error {
	if err := decoder.Unmarshal(e.Body, v); err != nil {
		return oops.Wrapf(err, "peer %s: body of %s", e.From, e.Kind)
	}
	return nil
}

// Marshal encodes v as the body of an envelope. A nil v gives a nil body.
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

// Unmarshal decodes what Marshal encoded into v and applies the limits.
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
	encoder = mustMode(cbor.EncOptions{}.EncMode())
	decoder = mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  MaxNesting,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

// mustMode panics at program start if the options above are contradictory.
func mustMode[T any](m T, err error) T {
	if err != nil {
		panic(err)
	}
	return m
}
