package work

import (
	"fmt"

	"shallotrun/core/clock"
)

// Values of [Ran].
const (
	// NotRun means that no backend server ran the request: nothing was sent to one, or the backend server itself answered
	// that it refused.
	NotRun Ran = "not run"
	// DidRun means that a backend server ran the request and the answer cannot be delivered.
	DidRun Ran = "ran"
	// RunUnknown means neither of the two is certain.
	RunUnknown Ran = "unknown"
)

// Codes of a [Refusal]. They are part of the public interface: callers' programs match them.
const (
	CodeKeyUnknown       = "key-unknown"
	CodeBadRequest       = "bad-request"
	CodeTooLarge         = "too-large"
	CodeModelUnknown     = "model-unknown"
	CodeModelNotAllowed  = "model-not-allowed"
	CodeNotAllowed       = "not-allowed"
	CodeRankNotAllowed   = "rank-not-allowed"
	CodeVersionWithdrawn = "version-withdrawn"
	CodeVersionDraining  = "version-draining"
	CodeVersionHalted    = "version-halted"
	CodeSessionInvalid   = "session-invalid"
	CodeResumeInvalid    = "resume-invalid"
	CodeResumeGone       = "resume-gone"
	CodeDeadline         = "deadline"
	CodeOverloaded       = "overloaded"
	CodeNoServer         = "no-server"
	CodeNoDocument       = "no-document"
	CodeStale            = "stale"
	CodeStopping         = "stopping"
	CodeBillingFull      = "billing-full"
	CodeClaimTaken       = "claim-taken"
	CodeClaimUnavailable = "claim-unavailable"
	CodeBackendFailed    = "backend-failed"
	CodePartRefused      = "part-refused"
	CodeLimited          = "limited"
)

// Ran is whether a request that was refused ran at a backend server. A caller may repeat a request that did not run.
type Ran string

// Refusal is the answer to a request that is not served. It is sent to the caller as problem details (RFC 9457).
type Refusal struct {
	Code   string
	Status int // HTTP status
	Ran    Ran
	Retry  clock.Span // time after which a retry may succeed, 0 if a retry is of no use
	Detail string
}

// Error returns the code, whether the request ran, and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with %s (%s): %s", r.Code, r.Ran, r.Detail)
}
