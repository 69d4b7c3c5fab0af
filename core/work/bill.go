package work

import "shallotrun/core/clock"

// Bill is what one request costs its workspace. There is one bill for each request id, whatever number
// of stages, attempts and entry VMs took part.
type Bill struct {
	Request   string     `json:"request" cbor:"request"`
	Workspace string     `json:"workspace" cbor:"workspace"`
	Stages    []Stage    `json:"stages" cbor:"stages"`
	At        clock.Time `json:"at" cbor:"at"` // end of the request, wall clock
}

// Stage is the part of a bill for one model or plain service.
type Stage struct {
	Model   string `json:"model,omitempty" cbor:"model,omitempty"`
	Version string `json:"version,omitempty" cbor:"version,omitempty"`
	Service string `json:"service,omitempty" cbor:"service,omitempty"`
	Prompt  int    `json:"prompt,omitempty" cbor:"prompt,omitempty"` // prompt tokens
	Tokens  int    `json:"tokens,omitempty" cbor:"tokens,omitempty"` // generated tokens
	Calls   int    `json:"calls,omitempty" cbor:"calls,omitempty"`   // calls to a plain service
}
