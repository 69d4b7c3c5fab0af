package settings

import (
	"fmt"
	"strings"

	"shallotrun/core/clock"
)

// Settings are the settings of one entry daemon.
type Settings struct {
	VM        VM
	Callers   Callers
	Peers     Peers
	Operators Operators
	Platform  Platform
	Keys      Keys
	Trace     Trace
	Log       Log
}

// VM names the daemon's VM.
type VM struct {
	Name   string
	Domain string // failure domain
}

// Callers is the port for callers.
type Callers struct {
	Addr    string // IP:port
	Rating  string // IP:port of the rating service, "" means none
	Streams int    // concurrent requests, queued ones included
}

// Peers is the port for the other entry VMs.
type Peers struct {
	Addr      string     // IP:port that is listened on
	Announce  string     // IP:port that the peers dial, Addr if empty
	Seeds     []string   // IP:port of entry VMs to try while the platform gives no list
	Heartbeat clock.Span // between two heartbeats
}

// Operators is the port for operators.
type Operators struct {
	Addr    string   // IP:port
	Editors []Person // may read and change
	Viewers []Person // may read
}

// Person is an operator with the hash of a token.
type Person struct {
	Name string
	Hash string // hex SHA-256 of the token
}

// Platform is the platform's object API.
type Platform struct {
	Addr    string     // IP:port
	Token   string     // bearer token, "" sends none
	Timeout clock.Span // of one call
	Wait    clock.Span // of one watch
	Poll    clock.Span // between two reads of the list of VMs
}

// Keys are the secrets shared by the entry VMs, 32 bytes each.
type Keys struct {
	Session []byte   // signs session and resume tokens
	Old     [][]byte // accepted for tokens, not used for new ones
	Peer    []byte   // authenticates peers
	Former  []byte   // the previous Peer, still accepted; nil for none
}

// Trace is the export of traces.
type Trace struct {
	URL    string // OTLP over HTTP, "" exports nothing
	Sample int    // requests of 1,000 that are traced
}

// Log is the log on standard error.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // json or console
}

// Fault is one reason why settings cannot be used.
type Fault struct {
	File    string
	Section string
	Key     string
	Text    string
}

// Faults is the error that Load returns. It holds every fault found.
type Faults []Fault

// String returns file, section, key and text.
func (f Fault) String() string {
	switch {
	case f.Section == "":
		return fmt.Sprintf("%s: %s", f.File, f.Text)
	case f.Key == "":
		return fmt.Sprintf("%s: [%s]: %s", f.File, f.Section, f.Text)
	default:
		return fmt.Sprintf("%s: [%s] %s: %s", f.File, f.Section, f.Key, f.Text)
	}
}

// Error lists every fault, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, e := range f {
		lines = append(lines, e.String())
	}
	return strings.Join(lines, "\n")
}
