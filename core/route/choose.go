package route

import (
	"slices"
	"strings"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/token"
	"shallotrun/core/work"
)

// Conditions is the state outside the document that decides whether a version may get work now.
type Conditions struct {
	Halted    func(model, version string) bool // whether the version is halted; nil if none is
	Staleness clock.Span                       // time since the platform's store last answered
}

// Request is the input of Table.Choose.
type Request struct {
	Workspace *Workspace
	Name      string         // route, cascade, MODEL or MODEL@VERSION
	Session   *token.Session // nil without a session
	Random    float64        // in [0, 1), selects a version by share
}

// Choice is the result of resolving a request.
type Choice struct {
	Stages  []Target          // one target for a single model, one for each stage of a cascade
	Cascade *document.Cascade // nil for a single model
	Rank    string            // rank of the route, "" for none
}

// Choose resolves the requested name to targets. A route or a cascade must be listed by the workspace, and each version has
// to pass Check. A session on a cascade gets only the version that gave its first answer.
func (t *Table) Choose(req Request, cond Conditions) (Choice, *work.Refusal) {
	var c Choice
	name := req.Name
	if r := t.cascades[name]; r != nil {
		if !slices.Contains(req.Workspace.Routes, name) {
			return c, notAllowed(name)
		}
		if v, ok := pinnedTarget(req.Session, r); ok {
			c.Stages = []Target{v}
			return c, t.Check(req.Workspace, v, true, cond)
		}
		c.Cascade = r
		for _, s := range r.Stages {
			v, err := t.resolve(req, s, cond)
			if err != nil {
				return c, err
			}
			c.Stages = append(c.Stages, v)
		}
		return c, nil
	}
	if r := t.routes[name]; r != nil {
		if !slices.Contains(req.Workspace.Routes, name) {
			return c, notAllowed(name)
		}
		name, c.Rank = r.Model, r.Rank
	}
	v, err := t.resolve(req, name, cond)
	c.Stages = []Target{v}
	return c, err
}

// Check reports whether a workspace may start work on a version now: it returns nil or the refusal. It is called again at
// dispatch, whatever Choose returned earlier. Session is true if the work belongs to a session on this version; such work
// may go on while the version is draining.
func (t *Table) Check(w *Workspace, v Target, session bool, cond Conditions) *work.Refusal {
	d := t.versions[v]
	switch {
	case w == nil:
		return refuse(work.CodeKeyUnknown, 401, "the workspace is not in the document any more")
	case d == nil:
		return refuse(work.CodeModelUnknown, 404, "the document has no "+v.String())
	case !w.Allows(v):
		return notAllowed(v.String())
	case d.State == document.Withdrawn:
		return refuse(work.CodeVersionWithdrawn, 409, v.String()+" is withdrawn")
	case d.State == document.Draining && !session && !t.liveHalted(v.Model, cond):
		return refuse(work.CodeVersionDraining, 409, v.String()+" gets no new sessions")
	case cond.Halted != nil && cond.Halted(v.Model, v.Version):
		return refuse(work.CodeVersionHalted, 409, v.String()+" is halted because its results are bad")
	case d.Stale == document.StaleRefuse && cond.Staleness > clock.Span(d.Limit)*clock.Second:
		return refuse(work.CodeStale, 503, "the platform was not reached for too long to use "+v.String())
	}
	return nil
}

// resolve returns the version for MODEL or MODEL@VERSION. A session keeps the version that it is pinned to.
func (t *Table) resolve(req Request, name string, cond Conditions) (Target, *work.Refusal) {
	model, version, fixed := strings.Cut(name, "@")
	m := t.models[model]
	if m == nil {
		return Target{}, refuse(work.CodeModelUnknown, 404, "there is no model, route or cascade "+name)
	}
	if req.Session != nil && len(req.Session.Pins) > 0 {
		v, ok := req.Session.Version(model)
		if !ok || fixed && v != version {
			return Target{}, refuse(work.CodeSessionInvalid, 400, "the session belongs to another model or version")
		}
		return Target{model, v}, t.Check(req.Workspace, Target{model, v}, true, cond)
	}
	if fixed {
		return Target{model, version}, t.Check(req.Workspace, Target{model, version}, false, cond)
	}
	return t.chooseVersion(req, m, cond)
}

// pinnedTarget returns the version that a session on a cascade is pinned to, which is the one that gave its first answer.
// If later requests ran the stages again, another model could answer them.
func pinnedTarget(s *token.Session, c *document.Cascade) (Target, bool) {
	if s == nil || len(s.Pins) != 1 {
		return Target{}, false
	}
	p := s.Pins[0]
	for _, stage := range c.Stages {
		if model, _, _ := strings.Cut(stage, "@"); model == p.Model {
			return Target{p.Model, p.Version}, true
		}
	}
	return Target{}, false
}

// chooseVersion selects one of the versions of a model that pass Check. Each canary gets its share in percent; the other
// versions get the rest in equal parts. If no version takes the rest, it returns the first refusal, preferably one for
// another reason than a version that the workspace does not allow.
func (t *Table) chooseVersion(req Request, m *document.Model, cond Conditions) (Target, *work.Refusal) {
	var live, canary []*document.Version
	var first *work.Refusal
	for i := range m.Versions {
		d := &m.Versions[i]
		if err := t.Check(req.Workspace, Target{m.Name, d.Name}, false, cond); err != nil {
			if first == nil || first.Code == work.CodeNotAllowed {
				first = err
			}
			continue
		}
		if d.State == document.Canary {
			canary = append(canary, d)
		} else {
			live = append(live, d)
		}
	}
	if first == nil {
		first = refuse(work.CodeModelUnknown, 404, "the model has no version")
	}
	x := req.Random * 100
	for _, d := range canary {
		if x < float64(d.Share) {
			return Target{m.Name, d.Name}, nil
		}
		x -= float64(d.Share)
	}
	if len(live) == 0 {
		return Target{}, first
	}
	// What is left of the random number selects evenly among the live versions.
	rest := req.Random*100 - x
	i := int(x / (100 - rest) * float64(len(live)))
	return Target{m.Name, live[min(i, len(live)-1)].Name}, nil
}

// liveHalted reports whether the live version of a model is halted. A draining version, which was live before it and is
// still loaded, then takes new work again.
func (t *Table) liveHalted(model string, cond Conditions) bool {
	m := t.models[model]
	if m == nil || cond.Halted == nil {
		return false
	}
	for _, v := range m.Versions {
		if v.State == document.Live && cond.Halted(model, v.Name) {
			return true
		}
	}
	return false
}

func notAllowed(name string) *work.Refusal {
	return refuse(work.CodeNotAllowed, 403, "the workspace does not allow "+name)
}

func refuse(code string, status int, detail string) *work.Refusal {
	return &work.Refusal{Code: code, Status: status, Ran: work.NotRun, Detail: detail}
}
