package quarantine

import (
	"strconv"
	"strings"

	"shallotrun/core/clock"
	"shallotrun/core/delta"
)

// Crash is a request under which the process of a backend server ended before the answer, or as it began.
type Crash struct {
	Service   string   // service of the server
	Server    string   // incarnation of the server
	Workspace string   // workspace of the request, "" for none
	Prompt    uint64   // hash of the whole prompt, or of a request without one
	Parts     []string // what may be to blame: the first shared parts of the prompt and the request itself, at most maxParts
	Trial     bool     `cbor:",omitempty"` // the request was sent to try whether a rule still holds
	NoHead    bool     `cbor:",omitempty"` // no head of an answer had arrived, so the request may only have waited at the server
	Body      uint64   `cbor:",omitempty"` // as that of a Content
	Rest      []uint64 // hashes of the further shared parts, and Body, that are not cleared, sorted; nil if a VM of an earlier build left them out
}

// wholePrefix begins the name of the part that stands for a whole request.
const wholePrefix = "request:"

// WholeRequest returns the part that stands for all requests with a hash: the same request, sent again and again. Unlike a shared part
// of prompts it is to blame if servers end under this one request alone.
func WholeRequest(hash string) string { return wholePrefix + hash }

// BodyName returns the part that stands for all requests with a Content.Body.
func BodyName(body uint64) string { return WholeRequest(strconv.FormatUint(body, 16)) }

// isWhole reports whether a part stands for a whole request.
func isWhole(part string) bool { return strings.HasPrefix(part, wholePrefix) }

// Request is what decides whether a request may be sent.
type Request struct {
	Service   string
	Workspace string
	Prompt    uint64 // 0 for none
	MayTry    bool   // the request may be sent to try whether a rule still holds
	Content
}

// Content is what servers may end under.
type Content struct {
	Parts []string // the first shared parts of the prompt, and the request itself, by name
	Tail  *Tail    // further shared parts of the prompt, nil for none
	Body  uint64   // hash of the request without its prompt, which it has when it is sent again with another one; 0 for none
}

// Rule is a quarantine: requests to a service that have all the parts are refused.
type Rule struct {
	Service    string
	Parts      []string // by name, sorted
	Rest       []uint64 // hashes of further parts, of which no name is known, sorted
	Workspaces []string // workspaces that it is limited to, nil for all
	Servers    int      // number of servers that ended

	hashes   []uint64 // of all parts, sorted
	crashes  []*record
	answered bool // this VM started answers to requests with the parts before
}

// Refusal is the reason why a request must not be sent now.
type Refusal struct {
	Parts   []string   // parts of the rule, or those of the repeated prompt that are not cleared
	Rest    []uint64   // hashes of further ones, of which no name is known, sorted
	Servers int        // number of servers that ended
	Repeat  bool       // the same prompt ended a server a moment ago; no rule is in force
	Retry   clock.Span // time after which the request may be allowed
}

// Report is one crash in a Message.
type Report struct {
	Crash
	Cleared      uint64     // bit i is set if Parts[i] is cleared; cleared parts of Rest are left out
	Age          clock.Span // since the crash
	SinceRefusal clock.Span // since the crash, or since a request was last refused because of it
}

// Message carries the records that changed from one ledger to another.
type Message struct {
	delta.Header
	Reports []Report
}
