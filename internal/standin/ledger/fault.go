package ledger

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"github.com/samber/oops"

	"shallotrun/core/clock"
)

// Fault is an order to misbehave. Value is a number or a string, as the fault needs it.
type Fault struct {
	Fault string     `json:"fault"`
	Value any        `json:"value"`
	For   clock.Span `json:"for"`
}

// Faults holds the faults in force. Names and On are set before use.
type Faults struct {
	Names []string               // accepted names
	On    map[string]func(Fault) // called when a fault is set or cleared, for faults that act at once
	Seed  uint64

	clock clock.Clock
	mu    sync.Mutex
	rand  *rand.Rand
	set   map[string]held
}

type held struct {
	fault Fault
	until clock.Time // 0 means until cleared
}

// Set puts a fault in force or clears it. It fails on an unknown name.
func (f *Faults) Set(x Fault) error {
	if !slices.Contains(f.Names, x.Fault) {
		return oops.Errorf("unknown fault %q, want one of %s", x.Fault, strings.Join(f.Names, ", "))
	}
	f.mu.Lock()
	if f.set == nil {
		f.set = map[string]held{}
	}
	switch {
	case x.For < 0:
		delete(f.set, x.Fault)
	case x.For == 0:
		f.set[x.Fault] = held{fault: x}
	default:
		f.set[x.Fault] = held{fault: x, until: f.clock.Now().Add(x.For)}
	}
	f.mu.Unlock()
	if on := f.On[x.Fault]; on != nil {
		on(x)
	}
	return nil
}

// Active returns the fault of that name if it is in force.
func (f *Faults) Active(name string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.set[name]
	if !ok || h.until != 0 && h.until.Before(f.clock.Now()) {
		return Fault{}, false
	}
	return h.fault, true
}

// All returns the faults in force.
func (f *Faults) All() []Fault {
	all := []Fault{}
	for _, n := range f.Names {
		if x, ok := f.Active(n); ok {
			all = append(all, x)
		}
	}
	return all
}

// Number returns the numeric value of a fault, 0 if it is not in force.
func (f *Faults) Number(name string) float64 {
	x, _ := f.Active(name)
	n, _ := x.Value.(float64)
	return n
}

// Text returns the string value of a fault, "" if it is not in force.
func (f *Faults) Text(name string) string {
	x, _ := f.Active(name)
	s, _ := x.Value.(string)
	return s
}

// Hits decides by chance whether a fault strikes now. Its value is the probability; a fault without a
// value always strikes.
func (f *Faults) Hits(name string) bool {
	x, ok := f.Active(name)
	if !ok {
		return false
	}
	p, ok := x.Value.(float64)
	return !ok || f.Roll() < p
}

// Roll returns the next number of the seeded sequence, in [0, 1).
func (f *Faults) Roll() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rand == nil {
		f.rand = rand.New(rand.NewPCG(f.Seed, 1))
	}
	return f.rand.Float64()
}
