package control

import (
	"sort"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/work"
	"shallotrun/io/order"
)

// engineState is an engine with its pool and its load report.
type engineState struct {
	vm     work.VM
	pool   *document.Pool
	report work.Load
}

// task is an action that an engine must take to match the document.
type task struct {
	server  string
	addr    string
	fenced  bool
	action  string
	model   string
	version string
	role    string
}

func (t task) order(fence uint64, id string) order.Order {
	return order.Order{FencingToken: fence, ID: id, Action: t.action, Model: t.model, Version: t.version, Role: t.role}
}

// plan returns the load and unload tasks by which the engines match the document. Versions that are not withdrawn are loaded.
// Withdrawn and unknown versions are unloaded after they have been unwanted for grace, so that running generations can finish.
// since holds the time from which each loaded version of an engine has been unwanted; plan updates it.
func plan(d *document.Document, targets []engineState, since map[string]clock.Time, now clock.Time, grace clock.Span) []task {
	var out []task
	unwanted := map[string]bool{}
	for _, t := range targets {
		if t.vm.State != work.StateLive || t.report.Leaving {
			continue
		}
		keep := versions(d, t.pool)
		loaded := map[string]bool{}
		for _, ref := range t.report.Models {
			loaded[ref] = true
			if keep[ref] {
				continue
			}
			key := t.vm.Name + " " + t.vm.Addr + " " + ref
			unwanted[key] = true
			if _, ok := since[key]; !ok {
				since[key] = now
			}
			if now.Sub(since[key]) >= grace {
				out = append(out, t.task(order.ActionUnload, ref))
			}
		}
		for ref := range keep {
			if !loaded[ref] {
				out = append(out, t.task(order.ActionLoad, ref))
			}
		}
	}
	for key := range since {
		if !unwanted[key] {
			delete(since, key)
		}
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}

// versions returns the versions that the engines of a pool must have loaded, as MODEL@VERSION.
func versions(d *document.Document, p *document.Pool) map[string]bool {
	out := map[string]bool{}
	for _, name := range p.Models {
		for _, m := range d.Models {
			if m.Name != name {
				continue
			}
			for _, v := range m.Versions {
				if v.State != document.Withdrawn {
					out[m.Name+"@"+v.Name] = true
				}
			}
		}
	}
	return out
}

// task returns the task for a version, which is given as MODEL@VERSION.
func (t engineState) task(action, ref string) task {
	m, v, _ := document.SplitRef(ref)
	return task{server: t.vm.Name, addr: t.vm.Addr, fenced: t.pool.Fenced, action: action, model: m, version: v}
}

// less orders unloading before loading, because loading needs the memory that unloading frees, and then by version, so that
// consecutive orders go to different engines.
func less(a, b task) bool {
	if a.action != b.action {
		return a.action > b.action // unload, role, load
	}
	if x, y := a.model+"@"+a.version, b.model+"@"+b.version; x != y {
		return x < y
	}
	return a.server < b.server
}
