package feed

import (
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/load"
)

// historyMost is the number of changes of a kind that are kept for other VMs.
const historyMost = 256

// wholeMost is the number of objects up to which all of a kind are handed on, in place of changes that are not kept. Each takes
// about 100 bytes.
const wholeMost = 400

// Delta is what one VM hands on to another about the kinds of objects.
type Delta struct {
	Age     clock.Span      // of the proof that the configuration is the newest one
	Quiet   clock.Span      // for which the store has not answered about the configuration or the servers
	Config  uint64          // version in force
	Body    *catalog.Config // in force, if the other VM does not have it and it is small
	Kinds   [kinds]Changes
	Reports []OrderReport // about the orders that are running
	Loads   []load.Use    // what all other VMs have at the backend servers
}

// Question is what a VM asks the one that it follows.
type Question struct {
	Revs    Revisions
	Config  uint64        // version in force, 0 for none
	Reports []OrderReport // about the orders that are running
	Loads   []load.Use    // what it has at the backend servers
}

// Ask returns this VM's question.
func (f *Feed) Ask() Question {
	q := Question{Revs: f.Revisions(), Reports: f.Orders.Reports(), Loads: f.Loads.Own()}
	if t := f.Config.Table(); t != nil {
		q.Config = t.Config.Version
	}
	return q
}

// Answer answers the question of another VM.
func (f *Feed) Answer(from string, q Question) Delta {
	d := f.Since(q.Revs)
	d.Reports = f.Orders.Answer(from, q.Reports)
	d.Loads = f.Loads.Answer(f.Clock.Now(), from, q.Loads)
	if t := f.Config.Table(); t != nil && q.Config < t.Config.Version && small(&t.Config) {
		d.Config, d.Body = t.Config.Version, &t.Config
	}
	return d
}

// Sums are what the VMs of a failure domain know together, for those of another one.
type Sums struct {
	Domain  string
	Loads   []load.Use
	Reports []OrderReport
}

// Sums returns what this VM and those that follow it know together.
func (f *Feed) Sums(domain string) Sums {
	return Sums{Domain: domain, Loads: f.Loads.Domain(f.Clock.Now()), Reports: f.Orders.Domain()}
}

// TakeSums takes what the VMs of another failure domain know together.
func (f *Feed) TakeSums(s Sums) {
	f.Loads.Put(f.Clock.Now(), s.Domain, s.Loads)
	f.Orders.Put(s.Domain, s.Reports)
}

// deltaEntries is the number of routes and keys up to which a configuration is handed on. Each takes up to 200 bytes, and
// a VM hands a change on to all others of its domain over its own link at the same moment.
const deltaEntries = 250

func small(c *catalog.Config) bool {
	n := len(c.Routes)
	for _, w := range c.Workspaces {
		n += len(w.Keys)
	}
	return n <= deltaEntries
}

// Changes are the changes of a kind after a revision.
type Changes struct {
	Gap     bool // they are not all kept: the kind has to be listed
	Whole   bool // they are not all kept, and these are all objects instead
	Objects []Object
	Rev     uint64
}

// Revisions says up to where a VM knows each kind.
type Revisions [kinds]uint64

// history keeps the changes of one kind, in order.
type history struct {
	from    uint64 // changes up to here are not kept
	rev     uint64
	batches []Batch
	all     map[string]Object // as of rev, nil before the first list
}

// list takes all objects of the kind. VMs that follow this one then need only what changed, also if the store
// dropped the changes in between.
func (h *history) list(b Batch) {
	if h.all == nil {
		h.from, h.all = b.Rev, make(map[string]Object)
		h.keep(b.Objects)
		h.rev = b.Rev
		return
	}
	d := Batch{Rev: b.Rev}
	listed := make(map[string]bool, len(b.Objects))
	for _, o := range b.Objects {
		listed[o.Name] = true
		if old, ok := h.all[o.Name]; !ok || !same(old, o) {
			d.Objects = append(d.Objects, o)
		}
	}
	for name := range h.all {
		if !listed[name] {
			d.Objects = append(d.Objects, Object{Name: name, Removed: true})
		}
	}
	h.add(d)
}

func (h *history) add(b Batch) {
	h.rev = max(h.rev, b.Rev)
	if len(b.Objects) == 0 {
		return
	}
	h.keep(b.Objects)
	h.batches = append(h.batches, b)
	if n := len(h.batches); n > historyMost {
		h.from = h.batches[n-historyMost-1].Rev
		h.batches = append([]Batch(nil), h.batches[n-historyMost:]...)
	}
}

func (h *history) keep(changes []Object) {
	if h.all == nil {
		return
	}
	for _, o := range changes {
		if o.Removed {
			delete(h.all, o.Name)
			continue
		}
		h.all[o.Name] = o
	}
}

// same reports whether two objects have the same value. Configurations differ if their versions do.
func same(a, b Object) bool {
	switch {
	case a.Server != nil && b.Server != nil:
		return *a.Server == *b.Server
	case a.Order != nil && b.Order != nil:
		return *a.Order == *b.Order
	case a.Member != nil && b.Member != nil:
		return *a.Member == *b.Member
	case a.Config != nil && b.Config != nil:
		return a.Config.Version == b.Config.Version
	}
	return a == b
}

// since returns the changes after a revision.
func (h *history) since(rev uint64) Changes {
	c := Changes{Rev: h.rev}
	if rev < h.from {
		if c.Gap = h.all == nil || len(h.all) > wholeMost; c.Gap {
			return c
		}
		c.Whole = true
		for _, o := range h.all {
			c.Objects = append(c.Objects, o)
		}
		return c
	}
	for _, b := range h.batches {
		if b.Rev > rev {
			c.Objects = append(c.Objects, b.Objects...)
		}
	}
	return c
}

// Revisions returns up to where this VM knows each kind.
func (f *Feed) Revisions() (out Revisions) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range out {
		out[k] = f.past[k].rev
	}
	return out
}

// Since returns what this VM knows beyond the revisions of another one, but for the configuration.
func (f *Feed) Since(revs Revisions) Delta {
	d := Delta{Age: f.Proof.Age(f.Clock.Boot())}
	if t := f.Config.Table(); t != nil {
		d.Config = t.Config.Version
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d.Quiet = f.Clock.Boot().Sub(min(f.heard[Configs], f.heard[Servers]))
	for k := range kinds {
		if k == Configs {
			d.Kinds[k].Rev = f.past[k].rev
			continue
		}
		d.Kinds[k] = f.past[k].since(revs[k])
	}
	return d
}

// Take applies what another VM handed on in answer to a question that was sent at a time. It returns false if something
// is missing that has to be read from the store; the rest is in force all the same.
func (f *Feed) Take(sent clock.Time, d Delta) bool {
	if d.Body != nil {
		f.configured(d.Body, d.Kinds[Configs].Rev)
	}
	t := f.Config.Table()
	current := t != nil && t.Config.Version >= d.Config
	whole := current
	for k := range kinds {
		switch {
		case d.Kinds[k].Gap:
			whole = false
		case k != Configs && d.Kinds[k].Whole:
			f.relisted(k, Batch{Objects: d.Kinds[k].Objects, Rev: d.Kinds[k].Rev})
		case k != Configs:
			f.apply(k, Batch{Objects: d.Kinds[k].Objects, Rev: d.Kinds[k].Rev})
		}
	}
	f.Orders.Learn(d.Reports)
	f.Loads.Learn(f.Clock.Now(), d.Loads)
	// The other VM took the ages after the question was sent, so they are not older than that.
	if current {
		f.Proof.Read(sent.Add(-d.Age))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range []Kind{Configs, Servers} {
		if !d.Kinds[k].Gap {
			f.heard[k] = max(f.heard[k], sent.Add(-d.Quiet))
		}
	}
	return whole
}
