package work

import (
	"fmt"

	"shallotrun/core/clock"
)

// What a refusal says about whether the request ran.
const (
	// NotRun is said only when nothing was sent to a backend server, or the backend server itself said
	// that it refused.
	NotRun Ran = "not run"
	// DidRun is said when a backend server ran the request and the answer cannot be given.
	DidRun Ran = "ran"
	// Unknown is said in every other case.
	Unknown Ran = "unknown"
)

// Refusal codes. They are stable: callers program against them.
const (
	CodeKeyUnknown       = "key-unknown"
	CodeBadRequest       = "bad-request"
	CodeTooLarge         = "too-large"
	CodeModelUnknown     = "model-unknown"
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
)

// Ran says whether a request ran.
type Ran string

// Refusal is the answer to a request that is not served. The caller edge writes it as problem details.
type Refusal struct {
	Code   string
	Status int // HTTP status
	Ran    Ran
	Retry  clock.Span // time after which a retry may help, 0 when it does not
	Detail string
}

// Error makes a refusal usable as an error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with %s (%s): %s", r.Code, r.Ran, r.Detail)
}
