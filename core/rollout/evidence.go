package rollout

import (
	"fmt"
	"slices"
	"strings"

	"shallotrun/core/work"
)

// Actions on a version.
const (
	Wait Action = iota
	Advance
	Halt
)

// Action is a decision about a version.
type Action uint8

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Reason string
}

// Evidence pools the results of all entry VMs about each version. Set the exported fields before the first call.
type Evidence struct {
	Policy Policy // nil means Sequential{}
	Source string // this VM and its incarnation

	versions map[version]*versionState
}

// versionState is the evidence about one version.
type versionState struct {
	tallies tallies
	good    float64 // since the last Reset
	bad     float64
	stage   uint64 // results in the present stage
	recent  window // recent results, for the error rate that other versions are compared with
	test    test
}

// Report counts a result that this VM saw. Control names the versions whose error rate is the baseline; without any, the
// prior rate is used.
func (e *Evidence) Report(r work.Result, control ...string) {
	if !IsEvidence(r) {
		return
	}
	t := Tally{Source: e.Source, Model: r.Model, Version: r.Version}
	own := e.versionState(version{r.Model, r.Version}).tallies[e.Source]
	t.Good, t.Bad = own.Good, own.Bad
	if r.Failed {
		t.Bad++
	} else {
		t.Good++
	}
	e.Merge(t, control...)
}

// Merge takes in the counts of a peer, and reports whether they contained anything new.
func (e *Evidence) Merge(t Tally, control ...string) bool {
	r := e.versionState(version{t.Model, t.Version})
	good, bad := r.tallies.merge(t)
	if good+bad == 0 {
		return false
	}
	rate := e.rate(t.Model, control)
	r.good += float64(good)
	r.bad += float64(bad)
	r.stage += good + bad
	r.recent.add(float64(good), float64(bad))
	r.test.add(rate, float64(good), float64(bad))
	return true
}

// Tallies returns the counts of this VM, ordered by model and version, to be sent to peers.
func (e *Evidence) Tallies() []Tally {
	var out []Tally
	for _, r := range e.versions {
		if t, ok := r.tallies[e.Source]; ok {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Tally) int {
		return strings.Compare(a.Model+"\x00"+a.Version, b.Model+"\x00"+b.Version)
	})
	return out
}

// Decide returns the action that the evidence about a version supports.
func (e *Evidence) Decide(model, name string) Decision {
	r := e.versions[version{model, name}]
	if r == nil {
		return Decision{}
	}
	n := r.good + r.bad
	switch p := e.policy().(type) {
	case Never:
		if r.stage >= 200 {
			return Decision{Advance, "enough requests"}
		}
	case Threshold:
		p = p.defaults()
		if n >= float64(p.MinRequests) && r.bad/n > p.Rate {
			return Decision{Halt, fmt.Sprintf("%.0f of %.0f requests failed", r.bad, n)}
		}
		if r.stage >= 200 {
			return Decision{Advance, "enough requests"}
		}
	case Sequential:
		return r.sequential(p.defaults())
	}
	return Decision{}
}

// StartStage starts a new stage: the version is advanced only after enough requests in it.
func (e *Evidence) StartStage(model, name string) {
	if r := e.versions[version{model, name}]; r != nil {
		r.stage = 0
		r.test.acceptRatio = 0
	}
}

// Reset drops the evidence about a version that an operator returns to service. The counts stay, so that late copies of
// old tallies are not taken for new results.
func (e *Evidence) Reset(model, name string) {
	if r := e.versions[version{model, name}]; r != nil {
		*r = versionState{tallies: r.tallies}
	}
}

// Keep drops the versions for which the function returns false, for example those that left the document.
func (e *Evidence) Keep(keep func(model, name string) bool) {
	for v := range e.versions {
		if !keep(v.model, v.version) {
			delete(e.versions, v)
		}
	}
}

func (e *Evidence) policy() Policy {
	if e.Policy == nil {
		return Sequential{}
	}
	return e.Policy
}

func (e *Evidence) versionState(v version) *versionState {
	r := e.versions[v]
	if r == nil {
		if e.versions == nil {
			e.versions = make(map[version]*versionState)
		}
		r = &versionState{tallies: make(tallies)}
		e.versions[v] = r
	}
	return r
}

// rate returns the error rate that a version is compared with: that of the control versions.
func (e *Evidence) rate(model string, control []string) float64 {
	var w window
	for _, name := range control {
		if r := e.versions[version{model, name}]; r != nil {
			w.long.good += r.recent.long.good
			w.long.bad += r.recent.long.bad
			w.short.good += r.recent.short.good
			w.short.bad += r.recent.short.bad
		}
	}
	return w.rate()
}
