package work

import "shallotrun/core/clock"

// Bill is the usage of one request that its workspace is charged for. There is exactly one bill for each request id, however
// many stages, attempts and entry VMs took part.
type Bill struct {
	Request   string     `json:"request" cbor:"request"`
	Workspace string     `json:"workspace" cbor:"workspace"`
	Stages    []Stage    `json:"stages" cbor:"stages"`
	At        clock.Time `json:"at" cbor:"at"` // wall-clock time of the end of the request
}

// Stage is the usage of one model or plain service on a bill.
type Stage struct {
	Model   string `json:"model,omitempty" cbor:"model,omitempty"`
	Version string `json:"version,omitempty" cbor:"version,omitempty"`
	Service string `json:"service,omitempty" cbor:"service,omitempty"`
	Prompt  int    `json:"prompt,omitempty" cbor:"prompt,omitempty"` // prompt tokens
	Tokens  int    `json:"tokens,omitempty" cbor:"tokens,omitempty"` // generated tokens
	Calls   int    `json:"calls,omitempty" cbor:"calls,omitempty"`   // calls to a plain service
}
