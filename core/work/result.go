package work

import "shallotrun/core/clock"

// Result is the outcome of one attempt at one backend server. Placement, circuit breakers and the canary test of a rollout
// use it.
type Result struct {
	Server      string
	Model       string
	Version     string
	Failed      bool       // the attempt failed, and not because of the caller
	Refused     bool       // the server answered that it refused the request
	Unreachable bool       // no connection to the server could be opened, or another server answers at its address
	First       clock.Span // time to the first token or byte, 0 if none arrived
	Total       clock.Span // time to the end of the attempt
	Tokens      int        // generated tokens
}
