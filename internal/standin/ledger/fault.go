package ledger

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"github.com/samber/oops"

	"shallotrun/core/clock"
)

// Fault is the body of POST /fault. Value is a number, a string or absent, as the documentation of the fault says.
type Fault struct {
	Fault string     `json:"fault"`
	Value any        `json:"value"`
	For   clock.Span `json:"for"`
}

// Faults holds the active faults. Set the exported fields before use.
type Faults struct {
	Names    []string               // accepted names
	OnChange map[string]func(Fault) // by name, called when the fault is set or cleared; for faults that act immediately
	Seed     uint64                 // seed of the random sequence

	clock  clock.Clock
	mu     sync.Mutex
	rand   *rand.Rand
	active map[string]activeFault
}

type activeFault struct {
	fault Fault
	until clock.Time // 0 means until cleared
}

// Set activates or clears a fault. It fails if the name is unknown.
func (f *Faults) Set(x Fault) error {
	if !slices.Contains(f.Names, x.Fault) {
		return oops.Errorf("unknown fault %q, want one of %s", x.Fault, strings.Join(f.Names, ", "))
	}
	f.mu.Lock()
	if f.active == nil {
		f.active = map[string]activeFault{}
	}
	switch {
	case x.For < 0:
		delete(f.active, x.Fault)
	case x.For == 0:
		f.active[x.Fault] = activeFault{fault: x}
	default:
		f.active[x.Fault] = activeFault{fault: x, until: f.clock.Now().Add(x.For)}
	}
	f.mu.Unlock()
	if on := f.OnChange[x.Fault]; on != nil {
		on(x)
	}
	return nil
}

// Active returns the fault of that name and whether it is active.
func (f *Faults) Active(name string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.active[name]
	if !ok || h.until != 0 && h.until.Before(f.clock.Now()) {
		return Fault{}, false
	}
	return h.fault, true
}

// All returns the active faults in the order of Names.
func (f *Faults) All() []Fault {
	all := []Fault{}
	for _, n := range f.Names {
		if x, ok := f.Active(n); ok {
			all = append(all, x)
		}
	}
	return all
}

// Number returns the value of a fault, 0 if the fault is not active or its value is not a number.
func (f *Faults) Number(name string) float64 {
	x, _ := f.Active(name)
	n, _ := x.Value.(float64)
	return n
}

// Text returns the value of a fault, "" if the fault is not active or its value is not a string.
func (f *Faults) Text(name string) string {
	x, _ := f.Active(name)
	s, _ := x.Value.(string)
	return s
}

// Applies reports whether a fault applies to the present call, chosen at random. The value of the fault is the probability; a
// fault without a number as value always applies.
func (f *Faults) Applies(name string) bool {
	x, ok := f.Active(name)
	if !ok {
		return false
	}
	p, ok := x.Value.(float64)
	return !ok || f.Random() < p
}

// Random returns the next number of the seeded random sequence, in [0, 1).
func (f *Faults) Random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rand == nil {
		f.rand = rand.New(rand.NewPCG(f.Seed, 1))
	}
	return f.rand.Float64()
}
