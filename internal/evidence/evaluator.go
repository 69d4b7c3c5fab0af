package evidence

import (
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"shallotrun/core/document"
	"shallotrun/core/relay"
	"shallotrun/core/rollout"
	"shallotrun/internal/config"
)

// Evaluator evaluates versions by their pooled results. Set the exported fields before the first call, then call Subscribe
// once. The other methods are safe for concurrent use.
type Evaluator struct {
	Store  *config.Store
	Halt   func(model, version, reason string) // halts a version on this VM and its peers
	Policy rollout.Policy
	Log    zerolog.Logger

	mu       sync.Mutex
	evidence rollout.Evidence
	state    map[string]document.Version // in the last document, by MODEL@VERSION
}

// Subscribe subscribes to changes of the document: the results of a version that an operator puts back in service are reset.
func (e *Evaluator) Subscribe() {
	e.evidence.Policy = e.Policy
	e.Store.Subscribe(func(s *document.Snapshot) { e.update(s.Document) })
}

// Merge merges counters of any VMs and halts versions that are bad by them. Repeated and reordered counters have no effect.
func (e *Evaluator) Merge(rows []relay.Counter) {
	d := e.current()
	if d == nil {
		return
	}
	for _, row := range rows {
		model, version, ok := strings.Cut(row.Version, "@")
		if !ok || d.Version(model, version) == nil {
			continue // counters of versions that are not in the document would accumulate without bound
		}
		t := rollout.Tally{Source: row.Source, Model: model, Version: version, Good: row.Good, Bad: row.Bad}
		e.mu.Lock()
		changed := e.evidence.Merge(t, baselines(d, model, version)...)
		decision := e.evidence.Decide(model, version)
		e.mu.Unlock()
		if changed {
			e.haltIfBad(d, model, version, decision)
		}
	}
}

// MayAdvance reports whether the pooled evidence allows the next stage of a canary, and why.
func (e *Evaluator) MayAdvance(model, version string) (ok bool, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.evidence.Decide(model, version)
	return x.Action == rollout.Advance, x.Reason
}

// haltIfBad halts a version if the decision is to halt, a live version only if another one can replace it. Halting the only
// version of a model would turn bad answers to some requests into refusals of all; the reason is logged for the operators
// instead.
func (e *Evaluator) haltIfBad(d *document.Document, model, version string, x rollout.Decision) {
	if x.Action != rollout.Halt || e.Store.Halted(model, version) {
		return
	}
	if v := d.Version(model, version); v.State == document.Live && !e.replaceable(d, model, version) {
		e.Log.Error().Str("model", model).Str("version", version).Str("reason", x.Reason).
			Msg("evidence: version has bad results but is not halted: the model has no other version")
		return
	}
	e.Halt(model, version, x.Reason)
}

// replaceable reports whether another version of the model can serve new requests.
func (e *Evaluator) replaceable(d *document.Document, model, version string) bool {
	for _, m := range d.Models {
		if m.Name != model {
			continue
		}
		for _, v := range m.Versions {
			if v.Name != version && v.State != document.Withdrawn && !e.Store.Halted(model, v.Name) {
				return true
			}
		}
	}
	return false
}

func (e *Evaluator) current() *document.Document {
	if s := e.Store.Current(); s != nil {
		return s.Document
	}
	return nil
}

func (e *Evaluator) update(d *document.Document) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := make(map[string]document.Version)
	for _, m := range d.Models {
		for _, v := range m.Versions {
			name := m.Name + "@" + v.Name
			state[name] = v
			if old, known := e.state[name]; known {
				e.versionChanged(m.Name, old, v)
			}
		}
	}
	e.state = state
	e.evidence.Keep(func(model, version string) bool { _, ok := state[model+"@"+version]; return ok })
}

// versionChanged updates the results after a change of a version: those of a version that is put back in service are reset, and
// a new share of a canary starts a new stage. A canary that becomes live keeps its results.
func (e *Evaluator) versionChanged(model string, old, v document.Version) {
	service := v.State == document.Canary || v.State == document.Live
	switch {
	case service && old.State != v.State && old.State != document.Canary:
		e.evidence.Reset(model, v.Name)
	case v.State == document.Canary && old.Share != v.Share:
		e.evidence.StartStage(model, v.Name)
	}
}

// baselines returns the names of the versions that the error rate of a version is compared with: the live ones, which it would
// replace.
func baselines(d *document.Document, model, version string) []string {
	var out []string
	for _, m := range d.Models {
		if m.Name != model {
			continue
		}
		for _, v := range m.Versions {
			if v.Name != version && v.State == document.Live {
				out = append(out, v.Name)
			}
		}
	}
	return out
}
