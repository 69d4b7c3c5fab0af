package feed

import (
	"errors"
	"maps"
	"slices"

	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/load"
	"shallotrun/core/quarantine"
)

// maxBatches is the number of batches of changes of a kind that are kept for the VMs that follow this one.
const maxBatches = 256

// Delta is the reply to a Query: the changes that the querying VM lacks, and sums over all other VMs.
type Delta struct {
	Unready          bool       // the replying VM is not synchronised; no other field is set
	ConfigAge        clock.Span `cbor:"Age"`   // since the configuration was proved to be the newest one
	SinceStoreAnswer clock.Span `cbor:"Quiet"` // the longer time since the store's last answer about configuration or servers
	Config           uint64     // version of the configuration in use
	PackedConfig     Packed     `cbor:"Body"` // the catalog.Config in use, if the querying VM has an older one
	Kinds            [kinds]Changes
	Reports          []OrderReport      // of the running orders, over all other VMs
	Loads            []load.Usage       // of all other VMs at the backend servers, if HasLoads
	TokensHeld       []int              `cbor:",omitempty"`        // of Loads, in their order; from builds that know it
	Learned          []load.Learned     `cbor:"Learned,omitempty"` // the evidence in Loads; unknown to a VM of an earlier build
	HasLoads         bool               `cbor:"Counted"`           // the reply contains loads; many loads are sent less often than the rest
	Crashes          quarantine.Message // crashes of backend servers that the querying VM lacks
	Limits           LimitReply         // limits that servers name, and the querying VM's part of them
	ShouldJoin       bool               `cbor:"Stand"`          // the querying VM should write its entry to the store, by which others find it
	ShouldRead       bool               `cbor:"Read,omitempty"` // the querying VM should read the store for a while, as it does not answer the replying one
}

// Query is sent to the VM that this one follows.
type Query struct {
	Revs    Revisions
	Eras    Eras               // of Revs; 0 from a VM of an earlier build
	Config  uint64             // version of the configuration in use, 0 for none
	Newer   Packed             // that catalog.Config, if the VM queried has an older one
	Reports []OrderReport      // of the running orders, with the results of the querying VM and of those that follow it
	Loads   []load.Usage       // of the same VMs at the backend servers
	Learned []load.Learned     `cbor:"Learned,omitempty"` // the evidence in Loads; unknown to a VM of an earlier build
	Crashes quarantine.Message // crashes of backend servers that the VM queried lacks
	Limits  LimitQuery         // limits that servers name, and what the querying VM wants of them
	VM      Member             // the querying VM

	TokensHeld       []int      `cbor:",omitempty"`        // of Loads, in their order; from builds that know it
	SinceStoreAnswer clock.Span `cbor:"Quiet,omitempty"`   // time since the store's last answer, if the querying VM was asked to read it; 0 otherwise
	ObjectsOnly      bool       `cbor:"Objects,omitempty"` // the reply has only objects of the store: the querying VM does not follow the one queried
}

// Query returns this VM's query to another VM. The caller sets VM.
func (f *Feed) Query(to string) Query {
	now := f.Clock.Now()
	q := Query{
		Reports: f.Orders.Report(now), Loads: f.Loads.Report(now), Crashes: f.Quarantine.Query(now),
		Limits: f.Limits.Query(f.Clock.Boot(), to),
	}
	q.TokensHeld, q.Learned = load.HeldTokens(q.Loads), load.Split(q.Loads)
	for k, p := range f.positions() {
		q.Revs[k], q.Eras[k] = p.Rev, p.Era
	}
	t := f.Config.Table()
	if t == nil {
		return q
	}
	q.Config = t.Config.Version
	f.mu.Lock()
	defer f.mu.Unlock()
	if have, ok := f.peerConfigs[to]; ok && have < q.Config {
		p, err := f.packedConfig.get(q.Config, func() any { return t.Config })
		if err != nil {
			f.Log.Error().Err(err).Msg("feed: the configuration in use cannot be packed for the VM that is followed")
		}
		q.Newer = p
	}
	return q
}

// ObjectsQuery returns a query for the objects of the store that this VM lacks.
func (f *Feed) ObjectsQuery() Query {
	q := Query{ObjectsOnly: true}
	for k, p := range f.positions() {
		q.Revs[k], q.Eras[k] = p.Rev, p.Era
	}
	if t := f.Config.Table(); t != nil {
		q.Config = t.Config.Version
	}
	return q
}

// applyNewer applies the configuration of a VM that follows this one, if that is newer: this VM missed it, and the store may have lost
// it since.
func (f *Feed) applyNewer(from string, q Query) {
	if q.Newer == nil {
		return
	}
	var c catalog.Config
	if err := q.Newer.unpack(&c); err != nil {
		f.Log.Warn().Err(err).Str("vm", from).Msg("feed: the newer configuration of a VM that follows this one cannot be read")
		return
	}
	f.updateConfig(&c, q.Revs[Configs])
}

// ErrUnready means that the VM that was queried is not synchronised.
var ErrUnready = errors.New("the VM that was queried is not synchronised yet")

// Reply returns the reply to the query of a VM that follows this one, and records the reports in the query.
func (f *Feed) Reply(from string, q Query) (d Delta, err error) {
	if !f.Synchronised() {
		return Delta{Unready: true}, nil
	}
	f.applyNewer(from, q)
	if d, err = f.ChangesSince(q.Revs, q.Eras); err != nil {
		return d, err
	}
	if !q.ObjectsOnly {
		now := f.Clock.Now()
		d.Reports = f.Orders.Exchange(now, from, q.Reports)
		load.SetHeldTokens(q.Loads, q.TokensHeld)
		d.Loads, d.HasLoads = f.Loads.Exchange(now, from, load.Join(q.Loads, q.Learned))
		d.TokensHeld, d.Learned = load.HeldTokens(d.Loads), load.Split(d.Loads)
		d.Crashes = f.Quarantine.Reply(now, q.Crashes)
		d.Limits = f.Limits.Reply(f.Clock.Boot(), q.VM, q.Limits)
	}
	if t := f.Config.Table(); t != nil && q.Config < t.Config.Version {
		d.Config = t.Config.Version
		f.mu.Lock()
		defer f.mu.Unlock()
		if d.PackedConfig, err = f.packedConfig.get(t.Config.Version, func() any { return t.Config }); err != nil {
			return Delta{}, err
		}
	}
	return d, nil
}

// Changes are the changes of a kind since a revision, or all its objects.
type Changes struct {
	Snapshot Packed `cbor:"Whole"` // all objects as []Object, if some of the changes are no longer kept; nil otherwise
	Objects  []Object
	Rev      uint64
	Era      uint64 // of Rev; 0 from a VM of an earlier build
}

// history holds the objects of one kind and their last changes in order, for the VMs that follow this one.
type history struct {
	droppedAt  Position // changes up to here are not kept
	at         Position
	batches    []Batch
	objects    map[string]Object // as of at, nil before the first list
	generation uint64            // number of batches applied to objects
	snapshot   packedCache       // of objects
}

// replace sets all objects of the kind. The differences from the previous objects are kept as changes, so VMs that follow this
// one need only those, even if the store dropped the changes in between.
func (h *history) replace(b Batch) {
	if h.objects == nil {
		h.droppedAt, h.objects = b.position(), make(map[string]Object)
		h.put(b.Objects)
		h.at = b.position()
		return
	}
	d := Batch{Rev: b.Rev, Era: b.Era}
	listed := make(map[string]bool, len(b.Objects))
	for _, o := range b.Objects {
		listed[o.Name] = true
		if old, ok := h.objects[o.Name]; !ok || !equal(old, o) {
			d.Objects = append(d.Objects, o)
		}
	}
	for name := range h.objects {
		if !listed[name] {
			d.Objects = append(d.Objects, Object{Name: name, Removed: true})
		}
	}
	h.add(d)
}

// add appends a batch of changes, drops the oldest one beyond maxBatches, and updates the objects.
func (h *history) add(b Batch) {
	if h.at.Before(b.position()) {
		h.at = b.position()
	}
	if len(b.Objects) == 0 {
		return
	}
	h.put(b.Objects)
	h.batches = append(h.batches, b)
	if n := len(h.batches); n > maxBatches {
		h.droppedAt = h.batches[n-maxBatches-1].position()
		h.batches = append([]Batch(nil), h.batches[n-maxBatches:]...)
	}
}

// put updates the objects, if they have been listed.
func (h *history) put(changes []Object) {
	if h.objects == nil {
		return
	}
	h.generation++
	for _, o := range changes {
		if o.Removed {
			delete(h.objects, o.Name)
			continue
		}
		h.objects[o.Name] = o
	}
}

// equal reports whether two objects have the same value. Configurations are compared by version.
func equal(a, b Object) bool {
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

// since returns the changes after a position, or all objects if some of those changes are not kept. asOf returns objects as they are now.
// The changes between two eras depend on what was known in the earlier one, so a VM that is in an earlier era gets all objects.
func (h *history) since(p Position, asOf func([]Object) []Object) (c Changes, err error) {
	c.Rev, c.Era = h.at.Rev, h.at.Era
	if p.Era == 0 {
		p.Era = h.at.Era // of a VM of an earlier build
	}
	if p.Rev == 0 || p.Era < h.at.Era || p.Before(h.droppedAt) { // revision 0 is that of a VM that has not listed the kind
		c.Snapshot, err = h.snapshot.get(h.generation, func() any { return asOf(slices.Collect(maps.Values(h.objects))) })
		return c, err
	}
	for _, b := range h.batches {
		if p.Before(b.position()) {
			c.Objects = append(c.Objects, b.Objects...)
		}
	}
	c.Objects = asOf(c.Objects)
	return c, nil
}

// asOf returns objects with the times for which servers are still cold at a time. It changes the list, not the objects in it. f.mu is
// held.
func (f *Feed) asOf(now clock.Time) func([]Object) []Object {
	return func(all []Object) []Object {
		for i, o := range all {
			if o.Server != nil && o.Server.Cold > 0 {
				v := f.servers.AsOf(now, *o.Server)
				all[i].Server = &v
			}
		}
		return all
	}
}

// coldRenewal is the age up to which packed servers may say for how long they are cold.
const coldRenewal = 250 * clock.Millisecond

// renewColdTimes has the servers packed anew if the packed ones say for how long servers are cold, and are too old. f.mu is held.
func (f *Feed) renewColdTimes(now clock.Time) {
	if now.Sub(f.coldPackedAt) >= coldRenewal && f.servers.AnyCold(now) {
		f.coldPackedAt = now
		f.histories[Servers].generation++
	}
}

// ChangesSince returns the changes after the given revisions of the given eras, except those of the configuration.
func (f *Feed) ChangesSince(revs Revisions, eras Eras) (d Delta, err error) {
	d.ConfigAge = f.Freshness.Age(f.Clock.Boot())
	if t := f.Config.Table(); t != nil {
		d.Config = t.Config.Version
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.renewColdTimes(now)
	d.SinceStoreAnswer = f.Clock.Boot().Sub(min(f.answeredAt[Configs], f.answeredAt[Servers]))
	for k := range kinds {
		if k == Evacuations && !f.listed[k] {
			continue
		}
		if k == Configs {
			d.Kinds[k].Rev, d.Kinds[k].Era = f.histories[k].at.Rev, f.histories[k].at.Era
			continue
		}
		if d.Kinds[k], err = f.histories[k].since(Position{Era: eras[k], Rev: revs[k]}, f.asOf(now)); err != nil {
			return d, err
		}
	}
	return d, nil
}

// Apply applies the reply of another VM, which this one follows or may follow. sent is the time by Clock.Boot at which the query was
// sent. It returns ErrUnready if that VM is not synchronised. Any other error means that a part could not be decoded; the other parts
// are applied.
func (f *Feed) Apply(sent clock.Time, from string, d Delta) error {
	err := f.ApplyObjects(sent, from, d)
	if errors.Is(err, ErrUnready) {
		return err
	}
	now := f.Clock.Now()
	f.Orders.SetUpstream(now, d.Reports)
	f.Quarantine.Accept(now, d.Crashes)
	f.Limits.Accept(f.Clock.Boot(), from, d.Limits)
	if d.HasLoads {
		load.SetHeldTokens(d.Loads, d.TokensHeld)
		f.Loads.SetUpstream(now, load.Join(d.Loads, d.Learned))
	}
	return err
}

// ApplyObjects applies the objects of the store in the reply of another VM, like Apply.
func (f *Feed) ApplyObjects(sent clock.Time, from string, d Delta) error {
	if d.Unready {
		return ErrUnready
	}
	f.recordPeerConfig(from, d.Config)
	var faults []error
	if d.PackedConfig != nil {
		faults = append(faults, f.applyConfig(d))
	}
	// The other VM measured the age after the query was sent, so counting it from then overestimates it at most. The proof is recorded
	// before the other kinds: a VM that has listed them all serves requests.
	if t := f.Config.Table(); t != nil && t.Config.Version >= d.Config {
		f.Freshness.RecordProof(sent.Add(-d.ConfigAge))
	}
	f.recordTold(d.Kinds[Evacuations])
	for k := range kinds {
		if k == Configs || !f.reads(k) {
			continue
		}
		c := d.Kinds[k]
		if c.Snapshot == nil {
			f.applyChanges(k, Batch{Objects: c.Objects, Rev: c.Rev, Era: c.Era})
			continue
		}
		var all []Object
		if err := c.Snapshot.unpack(&all); err != nil {
			faults = append(faults, err)
			continue
		}
		f.applyList(k, Batch{Objects: all, Rev: c.Rev, Era: c.Era})
	}
	if err := errors.Join(faults...); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range []Kind{Configs, Servers} {
		f.answeredAt[k] = max(f.answeredAt[k], sent.Add(-d.SinceStoreAnswer))
	}
	return nil
}

// recordPeerConfig records the version of the configuration that another VM has.
func (f *Feed) recordPeerConfig(vm string, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peerConfigs == nil || len(f.peerConfigs) >= maxPeerConfigs {
		f.peerConfigs = make(map[string]uint64)
	}
	f.peerConfigs[vm] = version
}

// maxPeerConfigs bounds the VMs whose configuration is remembered. A VM follows one of a few others.
const maxPeerConfigs = 64

// applyConfig applies the configuration in the reply of another VM.
func (f *Feed) applyConfig(d Delta) error {
	var c catalog.Config
	if err := d.PackedConfig.unpack(&c); err != nil {
		return err
	}
	k := d.Kinds[Configs]
	f.updateConfig(&c, k.Rev)
	f.applyList(Configs, Batch{Objects: []Object{{Name: "main", Config: &c}}, Rev: k.Rev, Era: k.Era})
	return nil
}
