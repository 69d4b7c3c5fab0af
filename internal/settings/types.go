package settings

import (
	"fmt"
	"strings"

	"shallotrun/core/clock"
)

// Settings holds the settings of one entry daemon. Its fields are named after the sections and keys of the file.
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

// VM identifies the VM of the daemon.
type VM struct {
	Name   string // as in the platform's list
	Domain string // failure domain
}

// Callers holds the settings of the port for callers.
type Callers struct {
	Addr    string // IP:port
	Rating  string // IP:port of the rating service, "" means none
	Streams int    // largest number of concurrent requests, queued ones included
}

// Peers holds the settings of the port for the other entry VMs.
type Peers struct {
	Addr      string     // IP:port on which the daemon listens
	Announce  string     // IP:port that the other VMs dial, Addr if the file gives none
	Seeds     []string   // IP:port of entry VMs to try while the platform returns no list
	Heartbeat clock.Span // time between two heartbeats
}

// Operators holds the settings of the port for operators.
type Operators struct {
	Addr    string     // IP:port
	Editors []Operator // may read and change
	Viewers []Operator // may read
}

// Operator is one operator, with the hash of the token that proves it.
type Operator struct {
	Name string
	Hash string // hex SHA-256 of the token
}

// Platform holds the settings of calls to the platform: to its store and for its list of VMs.
type Platform struct {
	Addr    string     // IP:port
	Token   string     // bearer token, "" sends none
	Timeout clock.Span // for one call
	Wait    clock.Span // for which one watch waits for a change
	Poll    clock.Span // time between two reads of the list of VMs
}

// Keys holds the secrets that the entry VMs share, 32 bytes each.
type Keys struct {
	Session []byte   // signs session and resume tokens
	Old     [][]byte // accepted for tokens but not used for new ones
	Peer    []byte   // authenticates the entry VMs to each other
	Former  []byte   // previous value of Peer, still accepted; nil for none
}

// Trace holds the settings of the export of traces.
type Trace struct {
	URL    string // OTLP endpoint over HTTP, "" exports nothing
	Sample int    // requests of 1,000 that are traced
}

// Log holds the settings of the log on standard error.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // json or console
}

// Fault is one error in a settings file.
type Fault struct {
	File    string
	Section string // "" if the fault concerns the file
	Key     string // "" if the fault concerns the section
	Text    string
}

// Faults is the error that [Load] and [LoadFront] return. It holds every fault found.
type Faults []Fault

// String returns the fault with its file, section and key as one line.
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

// Error lists all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, e := range f {
		lines = append(lines, e.String())
	}
	return strings.Join(lines, "\n")
}
