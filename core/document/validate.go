package document

import (
	"fmt"
	"strconv"
	"strings"

	"shallotrun/core/work"
)

// checker collects the faults of one document. Its maps hold the names that references are checked against.
type checker struct {
	faults   []Fault
	versions map[string]map[string]bool // versions by model
	services map[string]bool
	targets  map[string]string // path of the definition by the name that callers use as a model
	keys     map[string]string // workspace by hash of the key
}

// Validate returns every fault of a document, in the order of the document. A document without faults may be put in force.
func Validate(d *Document) []Fault {
	c := &checker{
		versions: map[string]map[string]bool{},
		services: map[string]bool{},
		targets:  map[string]string{},
		keys:     map[string]string{},
	}
	for _, m := range d.Models {
		vs := map[string]bool{}
		for _, v := range m.Versions {
			vs[v.Name] = true
		}
		c.versions[m.Name] = vs
	}
	for _, s := range d.Services {
		c.services[s.Name] = true
	}
	c.header(d)
	c.models(d.Models)
	c.pools(d.Pools)
	c.plainServices(d.Services)
	c.routes(d.Routes)
	c.cascades(d.Cascades)
	c.workspaces(d)
	return c.faults
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) header(d *Document) {
	if d.Author == "" {
		c.fault("author", "missing")
	}
	c.text("author", d.Author)
	c.text("note", d.Note)
	c.count("domains", len(d.Domains), 1, MaxDomains)
	seen := map[string]bool{}
	for i, s := range d.Domains {
		p := indexed("domains", i)
		c.name(p, s, seen)
		// The part of an idempotency key before its first dot names the failure domain that keeps its claim.
		if strings.Contains(s, ".") {
			c.fault(p, "a failure domain's name has no dot")
		}
	}
	c.inRange("ranks.normal", d.Ranks.Normal, 0, 100)
	c.inRange("ranks.batch", d.Ranks.Batch, 0, 100)
	normal, batch := d.Ranks.MinShares()
	if normal+batch > MaxMinShares {
		c.fault("ranks", "the minimum shares sum to %d%%, at most %d%% are allowed", normal+batch, MaxMinShares)
	}
}

func (c *checker) models(models []Model) {
	c.count("models", len(models), 0, MaxModels)
	seen := map[string]bool{}
	for i, m := range models {
		p := indexed("models", i)
		c.name(p+".name", m.Name, seen)
		c.addTarget(p+".name", m.Name)
		c.count(p+".versions", len(m.Versions), 1, MaxVersions)
		c.modelVersions(p, m)
	}
}

// modelVersions checks the versions of one model. A model without a live version is valid only if it has no canary either, so
// that the last version of a model can be drained or withdrawn.
func (c *checker) modelVersions(p string, m Model) {
	seen := map[string]bool{}
	live, canary, share := 0, 0, 0
	for j, v := range m.Versions {
		q := indexed(p+".versions", j)
		c.name(q+".name", v.Name, seen)
		c.inRange(q+".cost", v.Cost, 0, MaxCost)
		c.inRange(q+".share", v.Share, 0, 100)
		c.inRange(q+".limit", v.Limit, 0, MaxStale)
		if v.Share != 0 && v.State != Canary {
			c.fault(q+".share", "only a canary has a share")
		}
		if v.Auto && v.State == Draining {
			c.fault(q+".auto", "a draining version is not advanced")
		}
		switch v.State {
		case Canary:
			canary++
			share += v.Share
		case Live:
			live++
		case Draining, Withdrawn:
		default:
			c.fault(q+".state", "%q, want canary, live, draining or withdrawn", v.State)
		}
		switch v.Stale {
		case "", StaleServe:
			if v.Limit != 0 {
				c.fault(q+".limit", "acts only with stale refuse")
			}
		case StaleRefuse:
			if v.Limit == 0 {
				c.fault(q+".limit", "missing, stale refuse needs the seconds")
			}
		default:
			c.fault(q+".stale", "%q, want serve or refuse", v.Stale)
		}
	}
	if share > 100 {
		c.fault(p+".versions", "the shares of the canaries sum to %d%%, at most 100%% are allowed", share)
	}
	if live == 0 && canary > 0 {
		c.fault(p+".versions", "no live version takes the work that the canaries leave")
	}
	if live > 1 {
		c.fault(p+".versions", "%d versions are live, at most one may be", live)
	}
}

func (c *checker) pools(pools []Pool) {
	c.count("pools", len(pools), 0, MaxPools)
	seen := map[string]bool{}
	for i, x := range pools {
		p := indexed("pools", i)
		c.name(p+".name", x.Name, seen)
		c.count(p+".models", len(x.Models), 1, MaxModels)
		c.inRange(p+".slots", x.Slots, 1, MaxSlots)
		if x.Role != "" && !ValidName(x.Role) {
			c.fault(p+".role", "%q, want letters, digits, dots, dashes and underscores", x.Role)
		}
		names := map[string]bool{}
		for j, m := range x.Models {
			q := indexed(p+".models", j)
			if c.versions[m] == nil {
				c.fault(q, "no model %q", m)
			}
			c.unique(q, m, names)
		}
	}
}

func (c *checker) plainServices(services []Service) {
	c.count("services", len(services), 0, MaxServices)
	seen := map[string]bool{}
	for i, s := range services {
		p := indexed("services", i)
		c.name(p+".name", s.Name, seen)
		c.name(p+".pool", s.Pool, nil)
		c.rank(p+".rank", s.Rank, true)
		c.inRange(p+".slots", s.Slots, 0, MaxSlots)
		c.count(p+".calls", len(s.Calls), 0, MaxCalls)
		for j, call := range s.Calls {
			q := indexed(p+".calls", j)
			if !validMethod(call.Method) {
				c.fault(q+".method", "%q, want an HTTP method in capitals", call.Method)
			}
			if !strings.HasPrefix(call.Path, "/") || len(call.Path) > MaxNote {
				c.fault(q+".path", "%q does not begin with a slash or is too long", call.Path)
			}
		}
	}
}

func (c *checker) routes(routes []Route) {
	c.count("routes", len(routes), 0, MaxRoutes)
	for i, r := range routes {
		p := indexed("routes", i)
		c.name(p+".name", r.Name, nil)
		c.addTarget(p+".name", r.Name)
		c.reference(p+".model", r.Model)
		c.rank(p+".rank", r.Rank, true)
	}
}

func (c *checker) cascades(cascades []Cascade) {
	c.count("cascades", len(cascades), 0, MaxCascades)
	for i, x := range cascades {
		p := indexed("cascades", i)
		c.name(p+".name", x.Name, nil)
		c.addTarget(p+".name", x.Name)
		c.count(p+".stages", len(x.Stages), 1, MaxStages)
		seen := map[string]bool{}
		for j, s := range x.Stages {
			q := indexed(p+".stages", j)
			c.reference(q, s)
			c.unique(q, s, seen)
		}
		c.inRange(p+".quality", x.Quality, 0, 100)
		c.inRange(p+".wait", x.Wait, 0, MaxWait)
		if x.Down != DownFirst && x.Down != DownLast {
			c.fault(p+".down", "%q, want first or last", x.Down)
		}
	}
}

func (c *checker) workspaces(d *Document) {
	c.count("workspaces", len(d.Workspaces), 0, MaxWorkspaces)
	seen := map[string]bool{}
	for i, w := range d.Workspaces {
		p := indexed("workspaces", i)
		c.name(p+".name", w.Name, seen)
		c.rank(p+".rank", w.Rank, false)
		c.inRange(p+".weight", w.Weight, 1, MaxWeight)
		c.inRange(p+".limit", w.Limit, 0, MaxTokens)
		c.keyHashes(p, w)
		c.references(p, w)
	}
}

func (c *checker) keyHashes(p string, w Workspace) {
	c.count(p+".keys", len(w.Keys), 0, MaxKeys)
	for j, k := range w.Keys {
		q := indexed(p+".keys", j)
		if !validHash(k) {
			c.fault(q, "not a SHA-256 of 64 lower-case hex digits")
		}
		if other, ok := c.keys[k]; ok {
			c.fault(q, "workspace %q has the same key", other)
		}
		c.keys[k] = w.Name
	}
}

func (c *checker) references(p string, w Workspace) {
	c.count(p+".allow", len(w.Allow), 0, MaxAllow)
	c.count(p+".services", len(w.Services), 0, MaxAllow)
	c.count(p+".routes", len(w.Routes), 0, MaxAllow)
	names := map[string]bool{}
	for j, s := range w.Allow {
		c.reference(indexed(p+".allow", j), s)
		c.unique(indexed(p+".allow", j), s, names)
	}
	names = map[string]bool{}
	for j, s := range w.Services {
		if !c.services[s] {
			c.fault(indexed(p+".services", j), "no service %q", s)
		}
		c.unique(indexed(p+".services", j), s, names)
	}
	names = map[string]bool{}
	for j, s := range w.Routes {
		if where := c.targets[s]; where == "" || strings.HasPrefix(where, "models[") {
			c.fault(indexed(p+".routes", j), "no route or cascade %q", s)
		}
		c.unique(indexed(p+".routes", j), s, names)
	}
}

// addTarget records a name that callers may use in the model field of a request. Models, routes and cascades share these
// names, so each has to be unique among them.
func (c *checker) addTarget(path, s string) {
	if other, ok := c.targets[s]; ok {
		if !strings.HasPrefix(other, "models[") || !strings.HasPrefix(path, "models[") {
			c.fault(path, "%q is also the name at %s", s, other)
		}
		return
	}
	c.targets[s] = path
}

// reference checks MODEL or MODEL@VERSION.
func (c *checker) reference(path, s string) {
	m, v, pinned := SplitRef(s)
	if c.versions[m] == nil {
		c.fault(path, "no model %q", m)
		return
	}
	if pinned && !c.versions[m][v] {
		c.fault(path, "model %q has no version %q", m, v)
	}
}

func (c *checker) name(path, s string, seen map[string]bool) {
	if s == "" {
		c.fault(path, "missing")
		return
	}
	if !ValidName(s) {
		c.fault(path, "%q, want up to %d letters, digits, dots, dashes and underscores", s, MaxName)
	}
	if seen != nil {
		c.unique(path, s, seen)
	}
}

func (c *checker) unique(path, s string, seen map[string]bool) {
	if seen[s] {
		c.fault(path, "%q occurs twice", s)
	}
	seen[s] = true
}

func (c *checker) rank(path, s string, optional bool) {
	if s == "" && optional {
		return
	}
	if _, err := work.ParseRank(s); err != nil {
		c.fault(path, "%v", err)
	}
}

func (c *checker) count(path string, n, low, high int) {
	if n < low || n > high {
		c.fault(path, "%d entries, want %d to %d", n, low, high)
	}
}

func (c *checker) inRange(path string, n, low, high int) {
	if n < low || n > high {
		c.fault(path, "%d, want %d to %d", n, low, high)
	}
}

func (c *checker) text(path, s string) {
	if len(s) > MaxNote {
		c.fault(path, "%d bytes, at most %d are allowed", len(s), MaxNote)
	}
	if strings.ContainsFunc(s, func(r rune) bool { return r < ' ' && r != '\n' && r != '\t' }) {
		c.fault(path, "holds a control character")
	}
}

func indexed(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
