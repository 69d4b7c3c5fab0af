package work

import "shallotrun/core/clock"

// Result is what one attempt at one backend server showed. It feeds placement, breakers and the test of
// a roll-out.
type Result struct {
	Server  string
	Model   string
	Version string
	Failed  bool       // the server failed, not the caller
	Refused bool       // the server said that it refused
	Down    bool       // no connection to the server could be opened, or another server has its address
	First   clock.Span // time to the first token or byte, 0 if none came
	Total   clock.Span
	Tokens  int
}
