package claim

import (
	"maps"
	"slices"

	"shallotrun/core/clock"
)

// Answers of a replica to a VoteRequest.
const (
	Recorded     Answer = iota + 1 // the register has the claim's token
	OtherToken                     // the register has another token, or is blocked
	Incomplete                     // the replica may have lost or missed a token of the key
	StaleClaim                     // the claim's roster is older than the replica's
	StaleReplica                   // the claim's roster is newer than the replica's, or of another domain
	TableFull                      // the replica's table is full
)

// maxRegisters bounds the registers of a replica; at 100 bytes each they take 5 MB.
const maxRegisters = 50000

// pullInterval is the time between two requests to the same VM for its table.
const pullInterval = 250 * clock.Millisecond

// Answer is the answer of a replica to a claim.
type Answer uint8

// VoteRequest asks a replica to vote for a claim.
type VoteRequest struct {
	Key    string `cbor:"key"`
	Domain string `cbor:"domain"`
	Epoch  uint64 `cbor:"epoch"`
	Token  string `cbor:"token"`
}

// Vote is the response to VoteRequest. PeerIncs has, for each of the key's replicas, the latest incarnation that the sender
// has exchanged tables with.
type Vote struct {
	Answer   Answer            `cbor:"answer"`
	Token    string            `cbor:"token,omitempty"` // with OtherToken: the token in the register
	Inc      uint64            `cbor:"inc"`
	Epoch    uint64            `cbor:"epoch"`
	PeerIncs map[string]uint64 `cbor:"known,omitempty"`
}

// Register is the recorded claim of one key.
type Register struct {
	Key   string     `cbor:"key"`
	Token string     `cbor:"token"` // "" if copies had different tokens: no token gets a vote
	Age   clock.Span `cbor:"age"`
}

// Gap states that the sender could not copy the tables of Missing, which are members of the roster with Names.
type Gap struct {
	Names   []string   `cbor:"names"`
	Missing []string   `cbor:"missing"`
	Age     clock.Span `cbor:"age"`
}

// Pull asks a member of the roster for its table.
type Pull struct {
	Domain    string `cbor:"domain"`
	Epoch     uint64 `cbor:"epoch"`
	LostTable bool   `cbor:"blank"` // the sender restarted and lost its table in this epoch
}

// Table is the response to Pull.
type Table struct {
	Ready     bool       `cbor:"ready"` // false while the member has not reached the epoch
	Epoch     uint64     `cbor:"epoch"`
	Inc       uint64     `cbor:"inc"`
	IsNew     bool       `cbor:"fresh"` // the member's process had no table before this epoch
	Uncopied  []string   `cbor:"lacks"` // members whose tables the member, which restarted, has not copied yet
	Registers []Register `cbor:"registers"`
	Gaps      []Gap      `cbor:"doubts"`
}

// SendPull tells the driver to send a Pull and to pass the response to Merge. Tick repeats it if there is no response.
type SendPull struct {
	To   string
	Pull Pull
}

// Replica is one VM's part of the registers of its domain. Set the exported fields before use. It is not safe for
// concurrent use.
type Replica struct {
	Self   string     // name of this VM
	Inc    uint64     // its incarnation
	Window clock.Span // lifetime of a key

	roster    Roster
	table     map[string]register
	peerIncs  map[string]uint64 // latest incarnation of each member that tables were exchanged with
	oldGaps   []gap             // gaps of earlier epochs
	sources   []earlierRoster   // rosters whose tables are being copied
	isNew     bool              // this process had no table before the present epoch
	lostTable bool              // isNew, and an earlier incarnation may have voted in the present epoch
	copied    map[string]copied
	pulledAt  map[string]clock.Time
}

// earlierRoster is a roster whose members' tables are being copied.
type earlierRoster struct {
	names []string
	began clock.Time // when the copying began
	epoch uint64     // epoch in which the copying began
}

// copied is what a member reported together with its table.
type copied struct {
	isNew    bool
	uncopied []string
	gaps     []gap
}

type register struct {
	token string
	at    clock.Time
}

type gap struct {
	names, missing []string
	at             clock.Time
}

// Roster returns the roster in use; its epoch is 0 if there is none.
func (rep *Replica) Roster() Roster { return rep.roster }

// Adopt puts a roster of the VM's own domain in use. Older rosters are ignored, and so are all rosters before the first one
// that includes this VM, which has no registers until then.
func (rep *Replica) Adopt(now clock.Time, r Roster) {
	if r.Epoch <= rep.roster.Epoch || rep.roster.Epoch == 0 && !slices.Contains(r.Names, rep.Self) {
		return
	}
	if rep.table == nil {
		rep.table, rep.peerIncs = map[string]register{}, map[string]uint64{}
	}
	sources, ok := r.namesSince(rep.roster.Epoch)
	var carried []earlierRoster
	switch {
	case rep.roster.Epoch == 0:
		rep.isNew, rep.lostTable = true, r.Incs[rep.Self] != rep.Inc
		sources = r.Past[:min(1, len(r.Past))]
	case rep.lostTable || !ok || len(rep.sources) > maxPast:
		rep.oldGaps = mergeGaps(append(append(rep.oldGaps, rep.openGaps(0, r.Epoch)...), rep.receivedGaps()...))
		rep.isNew, rep.lostTable = !ok, !ok
	default:
		// Tables that were not copied in an earlier epoch can still be copied, because the members keep them.
		rep.oldGaps = mergeGaps(append(rep.oldGaps, rep.receivedGaps()...))
		rep.isNew, carried = false, rep.incompleteRosters()
	}
	if rep.lostTable {
		// The votes of an earlier incarnation in this epoch are lost. For older epochs the gaps that come with the
		// tables of the other members suffice.
		sources = [][]string{r.Names}
	}
	rep.roster, rep.sources = r, carried
	for _, names := range sources {
		rep.sources = append(rep.sources, earlierRoster{names, now, r.Epoch})
	}
	rep.copied, rep.pulledAt = map[string]copied{}, map[string]clock.Time{}
	if !rep.isNew {
		rep.copied[rep.Self] = copied{}
	}
}

// incompleteRosters returns the rosters of which this VM may still lack the token of a key.
func (rep *Replica) incompleteRosters() []earlierRoster {
	var out []earlierRoster
	for _, e := range rep.sources {
		if len(rep.missing(e.names)) >= Quorum(min(replicaCount, len(e.names))) {
			out = append(out, e)
		}
	}
	return out
}

// missing returns the members of a roster whose tables were not copied in full.
func (rep *Replica) missing(names []string) []string {
	var out []string
	for _, n := range names {
		if c, ok := rep.copied[n]; !ok || len(c.uncopied) > 0 || c.isNew && !rep.lostTable {
			out = append(out, n)
		}
	}
	return out
}

// openGaps returns a gap for each roster that is not copied in full and whose copying began in an epoch in [from, to).
func (rep *Replica) openGaps(from, to uint64) []gap {
	var out []gap
	for _, e := range rep.sources {
		if m := rep.missing(e.names); len(m) > 0 && e.epoch >= from && e.epoch < to {
			out = append(out, gap{names: e.names, missing: m, at: e.began})
		}
	}
	return out
}

// receivedGaps returns the gaps that came with the tables of other members.
func (rep *Replica) receivedGaps() []gap {
	var out []gap
	for _, n := range slices.Sorted(maps.Keys(rep.copied)) {
		out = append(out, rep.copied[n].gaps...)
	}
	return out
}

// Vote handles a claim: it records the token if the register is free, and returns the vote.
func (rep *Replica) Vote(now clock.Time, req VoteRequest) Vote {
	v := Vote{Inc: rep.Inc, Epoch: rep.roster.Epoch}
	switch {
	case req.Domain != rep.roster.Domain || req.Epoch > rep.roster.Epoch:
		v.Answer = StaleReplica
		return v
	case req.Epoch < rep.roster.Epoch:
		v.Answer = StaleClaim
		return v
	}
	reps := rep.roster.Replicas(req.Key)
	if !slices.Contains(reps, rep.Self) {
		v.Answer = Incomplete
		return v
	}
	v.PeerIncs = map[string]uint64{}
	for _, n := range reps {
		if inc, ok := rep.peerIncs[n]; ok {
			v.PeerIncs[n] = inc
		}
	}
	if r, ok := rep.table[req.Key]; ok && now.Sub(r.at) <= rep.Window {
		if v.Answer, v.Token = OtherToken, r.token; r.token == req.Token {
			v.Answer = Recorded
		}
		if v.Answer == OtherToken || !rep.mayMissToken(now, req.Key) {
			return v
		}
	}
	switch {
	case rep.mayMissToken(now, req.Key):
		v.Answer = Incomplete
	case len(rep.table) >= maxRegisters:
		v.Answer = TableFull
	default:
		rep.table[req.Key] = register{token: req.Token, at: now}
		v.Answer = Recorded
	}
	return v
}

// mayMissToken reports whether a quorum of the key's replicas in an earlier roster, or of earlier incarnations in this one,
// may have recorded a token that is not in this table.
func (rep *Replica) mayMissToken(now clock.Time, key string) bool {
	current := func(g gap) bool { return now.Sub(g.at) <= rep.Window && g.affects(key) }
	if slices.ContainsFunc(rep.oldGaps, current) || slices.ContainsFunc(rep.receivedGaps(), current) {
		return true
	}
	for _, e := range rep.sources {
		if now.Sub(e.began) > rep.Window {
			continue
		}
		n, reps := 0, replicas(e.names, key)
		for _, m := range reps {
			if !rep.hasTable(m, reps) {
				n++
			}
		}
		if len(reps) > 0 && n >= Quorum(len(reps)) {
			return true
		}
	}
	return false
}

// hasTable reports whether the table of m was copied in full for the keys of these replicas. A member that restarted in
// this epoch has their claims only if it has copied the other replicas.
func (rep *Replica) hasTable(m string, reps []string) bool {
	c, ok := rep.copied[m]
	if !ok || c.isNew && !rep.lostTable {
		return false
	}
	return !slices.ContainsFunc(reps, func(s string) bool { return s != m && slices.Contains(c.uncopied, s) })
}

// mergeGaps merges equal gaps, which come with many tables, and drops those that affect no key.
func mergeGaps(gaps []gap) []gap {
	var out []gap
	for _, g := range gaps {
		if len(g.missing) < Quorum(min(replicaCount, len(g.names))) {
			continue
		}
		i := slices.IndexFunc(out, func(o gap) bool {
			return slices.Equal(o.names, g.names) && slices.Equal(o.missing, g.missing)
		})
		if i < 0 {
			out = append(out, g)
			continue
		}
		out[i].at = max(out[i].at, g.at)
	}
	return out
}

// affects reports whether the missing tables may hide the token of a key: a quorum of its replicas is missing.
func (g gap) affects(key string) bool {
	t, n := replicas(g.names, key), 0
	for _, s := range t {
		if slices.Contains(g.missing, s) {
			n++
		}
	}
	return n >= Quorum(len(t))
}

// Pull returns this table for a member that copies it.
func (rep *Replica) Pull(now clock.Time, from string, inc uint64, p Pull) Table {
	t := Table{
		Epoch: rep.roster.Epoch, Inc: rep.Inc, IsNew: rep.isNew,
		Ready: p.Domain == rep.roster.Domain && p.Epoch == rep.roster.Epoch,
	}
	if !t.Ready || inc < rep.peerIncs[from] {
		t.Ready = false
		return t
	}
	rep.peerIncs[from] = inc
	for _, k := range slices.Sorted(maps.Keys(rep.table)) {
		if r := rep.table[k]; now.Sub(r.at) <= rep.Window && rep.roster.everReplica(k, from) {
			t.Registers = append(t.Registers, Register{Key: k, Token: r.token, Age: now.Sub(r.at)})
		}
	}
	// The member copies the tables of older rosters itself, unless its process is new in this epoch.
	gaps := append(slices.Clone(rep.oldGaps), rep.openGaps(0, rep.roster.Epoch)...)
	if p.LostTable || rep.lostTable {
		gaps = append(gaps, rep.receivedGaps()...)
	}
	switch {
	case rep.lostTable:
		t.Uncopied = rep.uncopied()
	case p.LostTable:
		gaps = append(gaps, rep.openGaps(rep.roster.Epoch, rep.roster.Epoch+1)...)
	}
	for _, g := range mergeGaps(gaps) {
		if now.Sub(g.at) <= rep.Window {
			t.Gaps = append(t.Gaps, Gap{Names: g.names, Missing: g.missing, Age: now.Sub(g.at)})
		}
	}
	return t
}

// uncopied returns the other members whose tables this VM, which restarted, does not have in full.
func (rep *Replica) uncopied() []string {
	var out []string
	for _, n := range rep.roster.Names {
		if c, ok := rep.copied[n]; n != rep.Self && (!ok || len(c.uncopied) > 0) {
			out = append(out, n)
		}
	}
	return out
}

// Merge merges a member's table into this one. From then on this VM's votes exclude votes of the member's earlier
// incarnations, because this VM may have lost the record that it reported an incarnation before.
func (rep *Replica) Merge(now clock.Time, from string, t Table) {
	if !t.Ready || t.Epoch != rep.roster.Epoch || t.Inc < rep.peerIncs[from] {
		return
	}
	rep.peerIncs[from] = t.Inc
	for _, r := range t.Registers {
		have, ok := rep.table[r.Key]
		at := now.Add(-r.Age)
		switch {
		case !ok || now.Sub(have.at) > rep.Window:
			rep.table[r.Key] = register{token: r.Token, at: at}
		case have.token != r.Token:
			rep.table[r.Key] = register{at: max(have.at, at)}
		}
	}
	gaps := make([]gap, 0, len(t.Gaps))
	for _, g := range t.Gaps {
		gaps = append(gaps, gap{names: g.Names, missing: g.Missing, at: now.Add(-g.Age)})
	}
	rep.copied[from] = copied{isNew: t.IsNew, uncopied: t.Uncopied, gaps: gaps}
}

// Tick returns the pulls that are due, and drops registers, gaps and rosters that are older than the window.
func (rep *Replica) Tick(now clock.Time) []SendPull {
	maps.DeleteFunc(rep.table, func(_ string, r register) bool { return now.Sub(r.at) > rep.Window })
	rep.oldGaps = slices.DeleteFunc(rep.oldGaps, func(g gap) bool { return now.Sub(g.at) > rep.Window })
	rep.sources = slices.DeleteFunc(rep.sources, func(e earlierRoster) bool { return now.Sub(e.began) > rep.Window })
	if len(rep.sources) == 0 {
		rep.lostTable = false // the lost votes are older than the window, and nothing is left to copy
		return nil
	}
	var out []SendPull
	for _, e := range rep.sources {
		for _, n := range e.names {
			c, ok := rep.copied[n]
			if n == rep.Self || ok && len(c.uncopied)+len(c.gaps) == 0 || rep.pulledAt[n] != 0 && now.Sub(rep.pulledAt[n]) < pullInterval {
				continue
			}
			rep.pulledAt[n] = now
			out = append(out, SendPull{To: n, Pull: Pull{Domain: rep.roster.Domain, Epoch: rep.roster.Epoch, LostTable: rep.lostTable}})
		}
	}
	return out
}
