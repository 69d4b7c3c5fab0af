package member

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Counts of heartbeats.
const (
	suspectAfter = 3   // the transport replaces a silent connection after the same time
	goneAfter    = 10  // long enough for two redials
	avoidFor     = 30  // before a silent contact is tried again
	viewEvery    = 4   // between two views to the same peer
	rechooseTime = 5   // between two choices of contacts without a change
	forgetAfter  = 600 // before the record of a gone VM that is not listed is dropped
)

// Fleet is the view of one VM. Set the exported fields before the first Step. It is not safe for
// concurrent use.
type Fleet struct {
	Self     Record
	Beat     clock.Span // between heartbeats within the domain
	Far      clock.Span // between heartbeats to contacts in other domains, 0 means Beat
	Contacts int        // contact VMs in each other domain, 0 means 2

	// Status of this VM, sent with each heartbeat.
	Revision, Digest uint64
	Load             uint32

	vms     map[string]*vm
	domains map[string][]string // names, sorted
	digest  uint64
	dirty   bool
	chosen  clock.Time
}

// vm is what is known of another VM.
type vm struct {
	Member
	learned  clock.Time        // when this incarnation became known
	listed   string            // address in the VM list, "" if it is not listed
	dialled  string            // address of the connection that is kept up
	since    clock.Time        // when it was dialled
	sent     clock.Time        // last heartbeat to it
	viewed   clock.Time        // last view to it
	avoid    clock.Time        // not chosen as a contact before
	told     bool              // it has this VM's record
	view     uint64            // digest of the last view from it
	live     map[string]uint64 // incarnations in the last view from it
	reported clock.Time        // when it last confirmed that view
}

// Step takes one input and returns the commands that follow.
func (f *Fleet) Step(now clock.Time, in Input) []Command {
	if f.vms == nil {
		f.vms, f.domains = map[string]*vm{}, map[string][]string{f.Self.Domain: {f.Self.Name}}
		f.dirty = true
	}
	switch in := in.(type) {
	case Listed:
		f.list(now, in.VMs)
	case Heard:
		return f.heard(now, in)
	case Viewed:
		return f.viewed(now, in)
	case Linked:
		if v := f.vms[in.Name]; v != nil {
			v.told = false
		}
	case Left:
		if v := f.vms[in.Name]; v != nil && v.Inc <= in.Inc {
			f.merge(now, Record{Name: in.Name, Peer: v.Peer, Domain: v.Domain, Inc: in.Inc, State: Gone})
		}
	case Tick:
		return f.tick(now)
	}
	return nil
}

// Declare changes the state of this VM. A state never goes back. The commands tell the peers at once.
func (f *Fleet) Declare(now clock.Time, s State) []Command {
	if s <= f.Self.State {
		return nil
	}
	f.Self.State = s
	f.dirty = true
	for _, v := range f.vms {
		v.sent, v.told = 0, false
	}
	return f.tick(now)
}

// Members returns the VMs of a domain other than this one, sorted by name, gone ones too.
func (f *Fleet) Members(now clock.Time, domain string) []Member {
	var out []Member
	for _, n := range f.domains[domain] {
		if v := f.vms[n]; v != nil {
			m := v.Member
			m.State = f.state(now, v)
			out = append(out, m)
		}
	}
	return out
}

// State returns the observed state of a VM. A VM that is not known is gone.
func (f *Fleet) State(now clock.Time, name string) State {
	if name == f.Self.Name {
		return f.Self.State
	}
	if v := f.vms[name]; v != nil {
		return f.state(now, v)
	}
	return Gone
}

// Lost reports whether the incarnation of a VM is known to have ended or to be silent for long.
func (f *Fleet) Lost(now clock.Time, name string, inc uint64) bool {
	if name == f.Self.Name {
		return inc != f.Self.Inc
	}
	v := f.vms[name]
	return v == nil || v.Inc > inc || f.state(now, v) == Gone
}

// Find returns the record of a VM.
func (f *Fleet) Find(name string) (Record, bool) {
	if name == f.Self.Name {
		return f.Self, true
	}
	if v := f.vms[name]; v != nil {
		return v.Record, true
	}
	return Record{}, false
}

// Dialled reports whether a connection to the VM is to be kept up.
func (f *Fleet) Dialled(name string) bool {
	v := f.vms[name]
	return v != nil && v.dialled != ""
}

// Domains returns the domains of the known VMs, sorted.
func (f *Fleet) Domains() []string {
	out := make([]string, 0, len(f.domains))
	for d := range f.domains {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// Names returns the names of a domain's VMs that are not gone, this VM among them, sorted.
func (f *Fleet) Names(now clock.Time, domain string) []string {
	var out []string
	for _, n := range f.domains[domain] {
		if f.State(now, n) != Gone {
			out = append(out, n)
		}
	}
	return out
}

// list takes the VM list. A row has no incarnation: it makes a VM known and gives an address to try, and
// never overrides what the VM itself declared.
func (f *Fleet) list(now clock.Time, rows []work.VM) {
	in := map[string]bool{}
	for _, r := range rows {
		if r.Kind != work.KindEntry || r.Name == f.Self.Name || r.Peer == "" {
			continue
		}
		in[r.Name] = true
		f.merge(now, Record{Name: r.Name, Peer: r.Peer, Domain: r.Domain})
		f.vms[r.Name].listed = r.Peer
	}
	for n, v := range f.vms {
		if !in[n] {
			v.listed = ""
		}
	}
	f.dirty = true
}

// merge takes a declaration if it is later than the known one.
func (f *Fleet) merge(now clock.Time, r Record) {
	if r.Name == f.Self.Name || r.Name == "" {
		return
	}
	v := f.vms[r.Name]
	switch {
	case v == nil:
		v = &vm{Member: Member{Record: r}, learned: now}
		f.vms[r.Name] = v
	case !r.newer(v.Record):
		return
	default:
		if r.Inc > v.Inc {
			v.learned, v.Heard, v.told, v.live = now, 0, false, nil
		}
		f.remove(v.Domain, r.Name)
		if r.Peer == "" {
			r.Peer = v.Peer
		}
		if r.Domain == "" {
			r.Domain = v.Domain
		}
		v.Record = r
	}
	names := f.domains[r.Domain]
	if i, ok := slices.BinarySearch(names, r.Name); !ok {
		f.domains[r.Domain] = slices.Insert(names, i, r.Name)
	}
	f.dirty = true
}

func (f *Fleet) remove(domain, name string) {
	names := f.domains[domain]
	if i, ok := slices.BinarySearch(names, name); ok {
		f.domains[domain] = slices.Delete(names, i, i+1)
	}
	if len(f.domains[domain]) == 0 && domain != f.Self.Domain {
		delete(f.domains, domain)
	}
}

func (f *Fleet) heard(now clock.Time, in Heard) []Command {
	r := in.Beat.Record
	if v := f.vms[in.Name]; v != nil && r.Name == "" {
		r = Record{Peer: v.Peer, Domain: v.Domain}
	}
	r.Name, r.Inc, r.State = in.Name, in.Inc, in.Beat.State
	if r.Domain == "" || in.Name == f.Self.Name {
		return nil // not known yet: a beat with a record or the VM list will follow
	}
	f.merge(now, r)
	v := f.vms[in.Name]
	if v.Inc != in.Inc {
		return nil // a late beat of an earlier incarnation
	}
	was := f.state(now, v)
	v.Heard, v.Revision, v.Digest, v.Load = now, in.Beat.Revision, in.Beat.Digest, in.Beat.Load
	f.dirty = f.dirty || was != f.state(now, v)
	var out []Command
	if v.Domain != f.Self.Domain && v.dialled == "" {
		out = append(out, f.beat(now, v)) // it chose this VM as a contact: the answer is the summary
	}
	same := v.Domain == f.Self.Domain && in.Beat.View == f.digest
	if v.live != nil && in.Beat.View == v.view {
		v.reported, same = now, true
	}
	if same || now.Sub(v.viewed) < viewEvery*f.Beat && v.viewed != 0 {
		return out
	}
	v.viewed = now
	if v.Domain == f.Self.Domain {
		return append(out, SendView{To: v.Name, View: f.View(now)})
	}
	return append(out, SendView{To: v.Name, View: View{Want: true}})
}

// viewed takes a peer's view of its own domain. For the peer's own domain members it merges the records;
// for other domains the view also tells which of them live.
func (f *Fleet) viewed(now clock.Time, in Viewed) []Command {
	v := f.vms[in.Name]
	if v == nil {
		return nil
	}
	if in.View.Want {
		return []Command{SendView{To: in.Name, View: f.View(now)}}
	}
	if in.View.Domain != v.Domain {
		return nil
	}
	live := make(map[string]uint64, len(in.View.Records))
	for _, r := range in.View.Records {
		if r.Domain == v.Domain {
			f.merge(now, r)
			live[r.Name] = r.Inc
		}
	}
	if v.Domain != f.Self.Domain {
		v.live, v.view, v.reported = live, in.View.Digest, now
	}
	f.dirty = true
	return nil
}

// View returns this VM's view of its own domain.
func (f *Fleet) View(now clock.Time) View {
	out := View{Domain: f.Self.Domain, Digest: f.digest}
	for _, n := range f.Names(now, f.Self.Domain) {
		r, _ := f.Find(n)
		out.Records = append(out.Records, r)
	}
	return out
}

// state is the observed state of v.
func (f *Fleet) state(now clock.Time, v *vm) State {
	if v.Record.State == Gone {
		return Gone
	}
	if v.Domain == f.Self.Domain || v.dialled != "" && v.Heard != 0 {
		return f.direct(now, v)
	}
	if v.Heard != 0 && now.Sub(v.Heard) <= suspectAfter*f.far() {
		return v.Record.State // it chose this VM as a contact
	}
	return f.indirect(now, v)
}

func (f *Fleet) direct(now clock.Time, v *vm) State {
	beat, last := f.Beat, v.Heard
	if v.Domain != f.Self.Domain {
		beat = f.far()
	}
	if last == 0 {
		if now.Sub(v.learned) <= goneAfter*beat {
			return Joining
		}
		return Gone
	}
	switch silent := now.Sub(last); {
	case silent <= suspectAfter*beat:
		return v.Record.State
	case silent <= goneAfter*beat:
		return Suspect
	}
	return Gone
}

// indirect is the state by the views of the contacts in v's domain: one recent view that has v alive is
// enough. Without a recent view the domain is cut off, and v is suspect until its records are old.
func (f *Fleet) indirect(now clock.Time, v *vm) State {
	newest := clock.Time(0)
	for _, n := range f.domains[v.Domain] {
		c := f.vms[n]
		if c == nil || c.live == nil {
			continue
		}
		newest = max(newest, c.reported)
		if inc, ok := c.live[v.Name]; ok && inc >= v.Inc && now.Sub(c.reported) <= suspectAfter*f.far() {
			return v.Record.State
		}
	}
	switch silent := now.Sub(max(newest, v.learned)); {
	case newest != 0 && silent <= suspectAfter*f.far():
		return Gone
	case silent <= goneAfter*f.far():
		return Suspect
	}
	return Gone
}

func (f *Fleet) far() clock.Span {
	if f.Far == 0 {
		return f.Beat
	}
	return f.Far
}

// sum is the digest of the own domain's records that are not gone.
func (f *Fleet) sum(now clock.Time) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [9]byte
	for _, n := range f.Names(now, f.Self.Domain) {
		r, _ := f.Find(n)
		_, _ = d.WriteString(n)
		binary.BigEndian.PutUint64(b[:], r.Inc)
		b[8] = byte(r.State)
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}
