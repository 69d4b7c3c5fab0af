package member

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Times in heartbeat intervals.
const (
	suspectAfter  = 3   // silence until a VM is suspect; the transport replaces a silent connection after the same time
	goneAfter     = 10  // silence until a VM is gone, long enough for two new connections
	avoidFor      = 30  // time until a silent contact may be chosen again
	viewEvery     = 4   // time between two views to the same peer
	rechooseEvery = 5   // time between two choices of connections if no view changed
	forgetAfter   = 600 // time until the record of a gone VM that is not listed is dropped
)

// Fleet is one VM's view of the fleet. Set the exported fields before the first Step. It is not safe for concurrent use.
type Fleet struct {
	Self         Record
	Heartbeat    clock.Span // interval of heartbeats within the domain
	FarHeartbeat clock.Span // interval of heartbeats to contacts in other domains, 0 means Heartbeat
	Contacts     int        // contact VMs in each other domain, 0 means 2

	// Revision, Digest and Load are sent with each heartbeat and may be set at any time.
	Revision, Digest uint64
	Load             uint32

	vms        map[string]*vm
	domains    map[string][]string // names, sorted
	viewDigest uint64
	dirty      bool
	lastChosen clock.Time
}

// vm is the state that is kept for another VM.
type vm struct {
	Member
	learnedAt       clock.Time        // when the first message of or about this incarnation arrived
	listedAddr      string            // address in the VM list, "" if it is not listed
	connAddr        string            // address of the connection to keep, "" for none
	connRequestedAt clock.Time        // when that connection was requested
	lastSent        clock.Time        // when the last heartbeat was sent to it
	lastViewSent    clock.Time        // when the last view was sent to it
	avoidUntil      clock.Time        // not chosen as a contact before this time
	sentRecord      bool              // this VM's record was sent to it, and it has sent heartbeats
	reportedDigest  uint64            // digest of the last view received from it
	reportedLive    map[string]uint64 // incarnations by name in that view
	reportedAt      clock.Time        // when it last sent that view or a heartbeat with its digest
}

// Step processes one input and returns the commands for the driver.
func (f *Fleet) Step(now clock.Time, in Input) []Command {
	if f.vms == nil {
		f.vms, f.domains = map[string]*vm{}, map[string][]string{f.Self.Domain: {f.Self.Name}}
		f.dirty = true
	}
	switch in := in.(type) {
	case VMList:
		f.onList(now, in.VMs)
	case HeartbeatReceived:
		return f.onHeartbeat(now, in)
	case ViewReceived:
		return f.onView(now, in)
	case ConnectionOpened:
		if v := f.vms[in.Name]; v != nil {
			v.sentRecord = false
		}
	case LeaveReceived:
		if v := f.vms[in.Name]; v != nil && v.Inc <= in.Inc {
			f.merge(now, Record{Name: in.Name, Peer: v.Peer, Domain: v.Domain, Inc: in.Inc, State: Gone})
		}
	case Tick:
		return f.tick(now)
	}
	return nil
}

// Declare changes the state of this VM to a later one; an earlier one is ignored. The commands send it to the peers at once.
func (f *Fleet) Declare(now clock.Time, s State) []Command {
	if s <= f.Self.State {
		return nil
	}
	f.Self.State = s
	f.dirty = true
	for _, v := range f.vms {
		v.lastSent, v.sentRecord = 0, false
	}
	return f.tick(now)
}

// Members returns the VMs of a domain except this VM, sorted by name, including those that are gone.
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

// State returns the observed state of a VM, Gone for a VM without a record.
func (f *Fleet) State(now clock.Time, name string) State {
	if name == f.Self.Name {
		return f.Self.State
	}
	if v := f.vms[name]; v != nil {
		return f.state(now, v)
	}
	return Gone
}

// Lost reports whether an incarnation of a VM has ended or has been silent long enough to be gone. A VM without a record is lost.
func (f *Fleet) Lost(now clock.Time, name string, inc uint64) bool {
	if name == f.Self.Name {
		return inc != f.Self.Inc
	}
	v := f.vms[name]
	return v == nil || v.Inc > inc || f.state(now, v) == Gone
}

// Find returns the record of a VM, false if there is none.
func (f *Fleet) Find(name string) (Record, bool) {
	if name == f.Self.Name {
		return f.Self, true
	}
	if v := f.vms[name]; v != nil {
		return v.Record, true
	}
	return Record{}, false
}

// WantsConnection reports whether a connection to the VM is to be kept.
func (f *Fleet) WantsConnection(name string) bool {
	v := f.vms[name]
	return v != nil && v.connAddr != ""
}

// Domains returns the failure domains of all VMs with a record, sorted.
func (f *Fleet) Domains() []string {
	out := make([]string, 0, len(f.domains))
	for d := range f.domains {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// Names returns the names of a domain's VMs that are not gone, including this VM, sorted.
func (f *Fleet) Names(now clock.Time, domain string) []string {
	var out []string
	for _, n := range f.domains[domain] {
		if f.State(now, n) != Gone {
			out = append(out, n)
		}
	}
	return out
}

// onList merges the VM list. A row has no incarnation: it adds the record of a VM that has none and gives an address to try,
// and never overrides what the VM itself declared.
func (f *Fleet) onList(now clock.Time, rows []work.VM) {
	in := map[string]bool{}
	for _, r := range rows {
		if r.Kind != work.KindEntry || r.Name == f.Self.Name || r.Peer == "" {
			continue
		}
		in[r.Name] = true
		f.merge(now, Record{Name: r.Name, Peer: r.Peer, Domain: r.Domain})
		f.vms[r.Name].listedAddr = r.Peer
	}
	for n, v := range f.vms {
		if !in[n] {
			v.listedAddr = ""
		}
	}
	f.dirty = true
}

// merge stores a record if it is later than the stored one.
func (f *Fleet) merge(now clock.Time, r Record) {
	if r.Name == f.Self.Name || r.Name == "" {
		return
	}
	v := f.vms[r.Name]
	switch {
	case v == nil:
		v = &vm{Member: Member{Record: r}, learnedAt: now}
		f.vms[r.Name] = v
	case !r.newer(v.Record):
		return
	default:
		if r.Inc > v.Inc {
			v.learnedAt, v.HeartbeatReceived, v.sentRecord, v.reportedLive = now, 0, false, nil
		}
		f.removeName(v.Domain, r.Name)
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

// removeName deletes a name from the list of a domain, and the list if it is empty.
func (f *Fleet) removeName(domain, name string) {
	names := f.domains[domain]
	if i, ok := slices.BinarySearch(names, name); ok {
		f.domains[domain] = slices.Delete(names, i, i+1)
	}
	if len(f.domains[domain]) == 0 && domain != f.Self.Domain {
		delete(f.domains, domain)
	}
}

// onHeartbeat merges the sender's record and status. It returns a heartbeat if the sender chose this VM as a contact, and a
// view or a request for one if the digests of the views differ.
func (f *Fleet) onHeartbeat(now clock.Time, in HeartbeatReceived) []Command {
	r := in.Heartbeat.Record
	if v := f.vms[in.Name]; v != nil && r.Name == "" {
		r = Record{Peer: v.Peer, Domain: v.Domain}
	}
	r.Name, r.Inc, r.State = in.Name, in.Inc, in.Heartbeat.State
	if r.Domain == "" || in.Name == f.Self.Name {
		return nil // without a record yet: a heartbeat with one or the VM list will follow
	}
	f.merge(now, r)
	v := f.vms[in.Name]
	if v.Inc != in.Inc {
		return nil // a late heartbeat of an earlier incarnation
	}
	was := f.state(now, v)
	v.HeartbeatReceived, v.Revision, v.Digest, v.Load = now, in.Heartbeat.Revision, in.Heartbeat.Digest, in.Heartbeat.Load
	f.dirty = f.dirty || was != f.state(now, v)
	var out []Command
	if v.Domain != f.Self.Domain && v.connAddr == "" {
		out = append(out, f.heartbeat(now, v)) // it chose this VM as a contact: the reply carries the digest
	}
	same := v.Domain == f.Self.Domain && in.Heartbeat.View == f.viewDigest
	if v.reportedLive != nil && in.Heartbeat.View == v.reportedDigest {
		v.reportedAt, same = now, true
	}
	if same || now.Sub(v.lastViewSent) < viewEvery*f.Heartbeat && v.lastViewSent != 0 {
		return out
	}
	v.lastViewSent = now
	if v.Domain == f.Self.Domain {
		return append(out, SendView{To: v.Name, View: f.View(now)})
	}
	return append(out, SendView{To: v.Name, View: View{IsRequest: true}})
}

// onView merges the records in a peer's view of the peer's domain, or returns this VM's view if the peer requests it. A view of
// another domain also determines which VMs of that domain are alive.
func (f *Fleet) onView(now clock.Time, in ViewReceived) []Command {
	v := f.vms[in.Name]
	if v == nil {
		return nil
	}
	if in.View.IsRequest {
		return []Command{SendView{To: in.Name, View: f.View(now)}}
	}
	if in.View.Domain != v.Domain {
		return nil
	}
	reportedLive := make(map[string]uint64, len(in.View.Records))
	for _, r := range in.View.Records {
		if r.Domain == v.Domain {
			f.merge(now, r)
			reportedLive[r.Name] = r.Inc
		}
	}
	if v.Domain != f.Self.Domain {
		v.reportedLive, v.reportedDigest, v.reportedAt = reportedLive, in.View.Digest, now
	}
	f.dirty = true
	return nil
}

// View returns this VM's view of its own domain.
func (f *Fleet) View(now clock.Time) View {
	out := View{Domain: f.Self.Domain, Digest: f.viewDigest}
	for _, n := range f.Names(now, f.Self.Domain) {
		r, _ := f.Find(n)
		out.Records = append(out.Records, r)
	}
	return out
}

// state returns the observed state of v: from its own heartbeats if this VM exchanges them with it, otherwise from views.
func (f *Fleet) state(now clock.Time, v *vm) State {
	if v.Record.State == Gone {
		return Gone
	}
	if v.Domain == f.Self.Domain || v.connAddr != "" && v.HeartbeatReceived != 0 {
		return f.directState(now, v)
	}
	if v.HeartbeatReceived != 0 && now.Sub(v.HeartbeatReceived) <= suspectAfter*f.farInterval() {
		return v.Record.State // it chose this VM as a contact and sends heartbeats
	}
	return f.indirectState(now, v)
}

// directState returns the state of v from the time since its last heartbeat.
func (f *Fleet) directState(now clock.Time, v *vm) State {
	interval, last := f.Heartbeat, v.HeartbeatReceived
	if v.Domain != f.Self.Domain {
		interval = f.farInterval()
	}
	if last == 0 {
		if now.Sub(v.learnedAt) <= goneAfter*interval {
			return Joining
		}
		return Gone
	}
	switch silent := now.Sub(last); {
	case silent <= suspectAfter*interval:
		return v.Record.State
	case silent <= goneAfter*interval:
		return Suspect
	}
	return Gone
}

// indirectState returns the state of v from the views of the contacts in v's domain: one recent view that includes v is
// sufficient for its declared state. Without a recent view the domain is partitioned from this one, and v is suspect until the
// views are goneAfter old.
func (f *Fleet) indirectState(now clock.Time, v *vm) State {
	newest := clock.Time(0)
	for _, n := range f.domains[v.Domain] {
		c := f.vms[n]
		if c == nil || c.reportedLive == nil {
			continue
		}
		newest = max(newest, c.reportedAt)
		if inc, ok := c.reportedLive[v.Name]; ok && inc >= v.Inc && now.Sub(c.reportedAt) <= suspectAfter*f.farInterval() {
			return v.Record.State
		}
	}
	switch silent := now.Sub(max(newest, v.learnedAt)); {
	case newest != 0 && silent <= suspectAfter*f.farInterval():
		return Gone
	case silent <= goneAfter*f.farInterval():
		return Suspect
	}
	return Gone
}

// farInterval returns the interval of heartbeats to other domains.
func (f *Fleet) farInterval() clock.Span {
	if f.FarHeartbeat == 0 {
		return f.Heartbeat
	}
	return f.FarHeartbeat
}

// domainDigest returns the digest of the records of this VM's domain that are not gone.
func (f *Fleet) domainDigest(now clock.Time) uint64 {
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
