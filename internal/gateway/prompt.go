package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
	"shallotrun/core/quarantine"
	"shallotrun/core/work"
)

const (
	// maxSharedParts is the number of shared parts of a prompt that are kept, logged and told others by their identifiers, and maxPartLength
	// the length of these in bytes. Further parts are known by their hashes (promptTail).
	maxSharedParts = 16
	maxPartLength  = 64
)

// sharedParts returns the identifiers of the first parts of the prompt that other requests may share, which are all but the last one.
func (x *exchange) sharedParts() []string {
	n := min(len(x.request.Parts)-1, maxSharedParts)
	if n <= 0 {
		return nil
	}
	out := make([]string, 0, n)
	for _, p := range x.request.Parts[:n] {
		out = append(out, shorten(p.ID))
	}
	return out
}

// promptTail returns the shared parts of the prompt behind those of sharedParts, nil for none.
func (x *exchange) promptTail() *quarantine.Tail {
	if n := len(x.request.Parts) - 1; x.tail == nil && n > maxSharedParts {
		parts := x.request.Parts[maxSharedParts:n]
		x.tail = quarantine.NewTail(len(parts), func(i int) string { return shorten(parts[i].ID) })
	}
	return x.tail
}

// describeParts returns the names of the parts of a refusal. Those of the tail have them in this request, as they are among its parts, or in
// an earlier one with the same prompt.
func (x *exchange) describeParts(r *quarantine.Refusal) string {
	return strings.Join(quarantine.Describe(r.Parts, r.Rest, func(h uint64) string {
		for _, p := range x.request.Parts {
			if id := shorten(p.ID); quarantine.HashPart(id) == h {
				return id
			}
		}
		return quarantine.HashName(h)
	}), ", ")
}

// shorten returns the identifier of a part as valid UTF-8 of at most maxPartLength bytes, as peers reject other text. The end of one
// that is longer or not valid is replaced by a hash, so that different parts stay different.
func shorten(id string) string {
	if len(id) <= maxPartLength && utf8.ValidString(id) {
		return id
	}
	hash := strconv.FormatUint(xxhash.Sum64String(id), 16)
	start := id[:min(len(id), maxPartLength-len(hash))]
	return strings.ToValidUTF8(start, "?") + hash
}

// maxCheapBody is the size in bytes up to which a body is hashed although no crash is remembered.
const maxCheapBody = 4096

// content returns what a server's end may be blamed on: the shared parts of the prompt and, while crashes of the service's servers are
// remembered, the request itself. Otherwise a large body need not be hashed.
func (x *exchange) content(now clock.Time) quarantine.Content {
	c := quarantine.Content{Parts: x.sharedParts(), Tail: x.promptTail()}
	remembers := x.g.State.Remembers(now, x.service)
	if remembers {
		c.Parts = append(c.Parts, x.wholeRequest())
	}
	if remembers || len(x.request.Body) <= maxCheapBody {
		c.Body = x.bodyIdentity()
	}
	return c
}

// proofDelay is how long after the first event of an answer its server must be there to show that the request does not end servers. A
// server that ends under a request does so as it begins the answer, or soon after its first event.
const proofDelay = 500 * clock.Millisecond

// checkProof records the start of the answer once an event shows that the server has outlived its first one by proofDelay.
func (x *exchange) checkProof() {
	if !x.attemptProven && x.g.Clock.Now().Sub(x.attemptStart)-x.timeToFirst >= proofDelay {
		x.recordStart()
	}
}

// recordStart records that the answer to this request was started, and that it does not end servers.
func (x *exchange) recordStart() {
	if x.attemptProven {
		return
	}
	x.attemptProven, x.proven = true, true
	now := x.g.Clock.Now()
	if c := x.content(now); len(c.Parts) > 0 || c.Body != 0 {
		x.g.State.RecordStart(now, x.service, c)
	}
}

// checkParts returns the refusal of a request with a part, or as a whole, that ends servers, nil if it may be sent. A request whose answer
// was started at an earlier server has proved that it does not.
func (x *exchange) checkParts(now clock.Time) *work.Refusal {
	if x.proven || x.trial && !x.trialBroke || !x.g.State.Remembers(now, x.service) {
		return nil
	}
	c := x.content(now)
	if len(c.Parts) == 0 {
		return nil
	}
	r, trial := x.g.State.Check(now, quarantine.Request{
		Service: x.service, Workspace: x.workspaceName(), Prompt: x.promptHash(), Content: c, MayTry: x.attempts == 0,
	})
	if trial {
		x.trial = true
		x.g.Log.Warn().Str("request", x.request.ID).Strs("parts", c.Parts).
			Msg("gateway: a request that would be refused is sent, to find out whether servers still end under it")
	}
	if r == nil {
		return nil
	}
	x.g.metrics.partsRefused.Inc()
	detail := fmt.Sprintf("backend servers end as they answer requests with %s, %d so far", x.describeParts(r), r.Servers)
	if r.Repeat {
		detail = fmt.Sprintf("a backend server ended as it answered this request, with %s, %d so far", x.describeParts(r), r.Servers)
	}
	refusal := x.giveUp(work.CodePartRefused, detail)
	if refusal.Ran == work.NotRun {
		refusal.Retry = r.Retry
	}
	return refusal
}

func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// promptHash returns a hash of all parts of the prompt, 0 if there are none.
func (x *exchange) promptHash() uint64 {
	if len(x.request.Parts) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, p := range x.request.Parts {
		_, _ = h.WriteString(p.ID)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// identity returns a hash of what a request has in common with the same request sent again: all but its identifier and headers that
// do not belong to the prompt. It differs between workspaces, so that none can have another's requests taken for its own.
func (x *exchange) identity() uint64 {
	if x.identityHash == 0 {
		x.identityHash = x.hashRequest(x.request.Parts)
	}
	return x.identityHash
}

// bodyIdentity returns the identity that a request with a body has without its prompt, and 0 for others: a caller that sends a request
// again may do so in another session, with another last part. Requests with a prompt and without a body have nothing else of their own.
func (x *exchange) bodyIdentity() uint64 {
	if x.bodyHash == 0 && len(x.request.Parts) > 0 && len(x.request.Body) > 0 {
		x.bodyHash = x.hashRequest(nil)
	}
	return x.bodyHash
}

// hashRequest returns the hash of a request with the given parts of its prompt, which is not 0.
func (x *exchange) hashRequest(parts []PromptPart) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{x.workspaceName(), x.request.Method, x.request.Host, x.request.URI} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	for _, p := range parts {
		_, _ = h.WriteString(p.ID)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.request.Body)
	return max(h.Sum64(), 1)
}

// wholeRequest returns the part that stands for this request and the same one sent again.
func (x *exchange) wholeRequest() string {
	return quarantine.WholeRequest(strconv.FormatUint(x.identity(), 16))
}
