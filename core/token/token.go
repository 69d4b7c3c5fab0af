package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"shallotrun/core/work"
)

// MaxLength is the maximum length of a token in bytes.
const MaxLength = 2048

// Session is a session with the model versions that it stays on. A version is pinned when it gives the session's first
// answer; there is one pin for each model.
type Session struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Workspace string
	Pins      []Pin
}

// Pin is the version of a model that a session stays on.
type Pin struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Version string
}

// Resume has what an entry VM needs to continue a stream that another one started.
type Resume struct {
	_              struct{} `cbor:",toarray"`
	Request        string
	Workspace      string
	Model          string
	Version        string
	Server         string  // name of the backend server that generates the answer
	Addr           string  // its address when the stream started
	Holder         string  // copy holder of the bill, as package bill formats it
	Attempt        int     // number of the attempt when the token was made
	FinishedStages []Stage // finished stages of a cascade, which go on the same bill
	PromptHash     uint64  // xxhash of the prompt
	MaxTokens      int     // limit of the tokens to generate
}

// Stage is a finished stage of a cascade.
type Stage struct {
	_            struct{} `cbor:",toarray"`
	Model        string
	Version      string
	PromptTokens int
	Tokens       int
}

// Signer signs and verifies tokens.
type Signer struct {
	Keys [][]byte // the first signs, all verify
}

// Version returns the version of a model that the session is pinned to, if any.
func (s *Session) Version(model string) (string, bool) {
	for _, p := range s.Pins {
		if p.Model == model {
			return p.Version, true
		}
	}
	return "", false
}

// BillStages returns the finished stages as they go on the bill.
func (r *Resume) BillStages() []work.Stage {
	var out []work.Stage
	for _, s := range r.FinishedStages {
		out = append(out, work.Stage{Model: s.Model, Version: s.Version, Prompt: s.PromptTokens, Tokens: s.Tokens})
	}
	return out
}

// SignSession returns a signed session token.
func (s *Signer) SignSession(v *Session) (string, error) { return s.sign(sessionKind, v) }

// SignResume returns a signed resume token.
func (s *Signer) SignResume(v *Resume) (string, error) { return s.sign(resumeKind, v) }

// VerifySession verifies and decodes a session token.
func (s *Signer) VerifySession(text string) (*Session, error) {
	v := new(Session)
	return v, s.verify(sessionKind, text, v)
}

// VerifyEvent verifies and decodes an event id RESUMETOKEN.N. It returns the resume token and N.
func (s *Signer) VerifyEvent(id string) (*Resume, int, error) {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return nil, 0, oops.Errorf("event id has no dot between token and number")
	}
	n, err := strconv.Atoi(id[i+1:])
	if err != nil || n < 0 || n > maxEventNumber {
		return nil, 0, oops.Errorf("event id has no valid number after the dot")
	}
	v := new(Resume)
	return v, n, s.verify(resumeKind, id[:i], v)
}

// The kind of a token is part of the HMAC, so that a token of one kind is not accepted as the other.
const (
	sessionKind = 's'
	resumeKind  = 'r'
)

const (
	macSize        = 16
	maxEventNumber = 1 << 30
)

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		MaxNestedLevels: 4, MaxArrayElements: 64, MaxMapPairs: 16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (s *Signer) sign(kind byte, v any) (string, error) {
	if len(s.Keys) == 0 {
		return "", oops.Errorf("no key for signing tokens")
	}
	body, err := cbor.Marshal(v)
	if err != nil {
		return "", oops.Wrapf(err, "token")
	}
	body = append(body, mac(s.Keys[0], kind, body)...)
	return base64.RawURLEncoding.EncodeToString(body), nil
}

func (s *Signer) verify(kind byte, text string, v any) error {
	if len(text) > MaxLength {
		return oops.Errorf("token has %d bytes, the limit is %d", len(text), MaxLength)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < macSize {
		return oops.Errorf("token is not base64url or is too short")
	}
	body, sum := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	for _, k := range s.Keys {
		if hmac.Equal(sum, mac(k, kind, body)) {
			return oops.Wrapf(decoder.Unmarshal(body, v), "token")
		}
	}
	return oops.Errorf("no key verifies the token's signature")
}

func mac(key []byte, kind byte, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte{kind})
	h.Write(body)
	return h.Sum(nil)[:macSize]
}
