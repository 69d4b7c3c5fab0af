package claim

import (
	"maps"
	"slices"

	"shallotrun/core/clock"
)

// Answers of a holder.
const (
	Yes      Answer = iota + 1 // the register has the asker's token
	Other                      // the register has another token
	Unsure                     // the holder may have lost or missed a token
	Behind                     // the asker's roster is older than the holder's
	Ahead                      // the holder's roster is older than the asker's
	Overfull                   // the table is full
)

// maxTable bounds the registers of a holder; at 100 bytes each they take 5 MB.
const maxTable = 50000

// pollEvery is the time between two requests to the same VM for its table.
const pollEvery = 250 * clock.Millisecond

// Answer is what a holder says to a claim.
type Answer uint8

// Ask is a claim that is sent to a holder.
type Ask struct {
	Key    string `cbor:"key"`
	Domain string `cbor:"domain"`
	Epoch  uint64 `cbor:"epoch"`
	Token  string `cbor:"token"`
}

// Vote answers Ask. Known gives the incarnations of the trio's holders as far as they copied this table.
type Vote struct {
	Answer Answer            `cbor:"answer"`
	Token  string            `cbor:"token,omitempty"` // with Other
	Inc    uint64            `cbor:"inc"`
	Epoch  uint64            `cbor:"epoch"`
	Known  map[string]uint64 `cbor:"known,omitempty"`
}

// Register is the claim of one key.
type Register struct {
	Key   string     `cbor:"key"`
	Token string     `cbor:"token"` // "" when copies disagreed: the key is blocked
	Age   clock.Span `cbor:"age"`
}

// Doubt says that the holder lacks the tables of Missing, of a roster with Names.
type Doubt struct {
	Names   []string   `cbor:"names"`
	Missing []string   `cbor:"missing"`
	Age     clock.Span `cbor:"age"`
}

// Pull asks a member for its table.
type Pull struct {
	Domain string `cbor:"domain"`
	Epoch  uint64 `cbor:"epoch"`
	Blank  bool   `cbor:"blank"` // the asker lost its table in this epoch
}

// Table answers Pull.
type Table struct {
	Ready     bool       `cbor:"ready"` // false while the member has not reached the epoch
	Epoch     uint64     `cbor:"epoch"`
	Inc       uint64     `cbor:"inc"`
	Fresh     bool       `cbor:"fresh"` // the member's process had no table before this epoch
	Lacks     []string   `cbor:"lacks"` // members whose tables a restarted member has not copied yet
	Registers []Register `cbor:"registers"`
	Doubts    []Doubt    `cbor:"doubts"`
}

// SendPull is the command to send a Pull. The driver gives the answer to Copy; a lost one is sent again.
type SendPull struct {
	To   string
	Pull Pull
}

// Holder keeps registers. Set the exported fields before use. It is not safe for concurrent use.
type Holder struct {
	Self   string
	Inc    uint64
	Window clock.Span // lifetime of a key

	roster Roster
	table  map[string]register
	known  map[string]uint64 // incarnations that copied this table
	frozen []doubt           // doubts of earlier epochs
	past   []earlier         // rosters whose tables are being copied
	fresh  bool              // this process had no table before the present epoch
	blank  bool              // and an earlier incarnation may have voted in it
	copied map[string]copied
	polled map[string]clock.Time
}

// earlier is a roster whose tables are being copied.
type earlier struct {
	names []string
	since clock.Time // when the copying began
	epoch uint64     // in which it began
}

// copied is what came with a member's table.
type copied struct {
	fresh  bool
	lacks  []string
	doubts []doubt
}

type register struct {
	token string
	at    clock.Time
}

type doubt struct {
	names, missing []string
	at             clock.Time
}

// Roster returns the roster in use, with epoch 0 if there is none.
func (h *Holder) Roster() Roster { return h.roster }

// Adopt takes a roster of the holder's own domain. Older ones are ignored, and those before the first one
// that has this VM: it keeps no claims until then.
func (h *Holder) Adopt(now clock.Time, r Roster) {
	if r.Epoch <= h.roster.Epoch || h.roster.Epoch == 0 && !slices.Contains(r.Names, h.Self) {
		return
	}
	if h.table == nil {
		h.table, h.known = map[string]register{}, map[string]uint64{}
	}
	past, ok := r.since(h.roster.Epoch)
	var carried []earlier
	switch {
	case h.roster.Epoch == 0:
		h.fresh, h.blank = true, r.Incs[h.Self] != h.Inc
		past = r.Past[:min(1, len(r.Past))]
	case h.blank || !ok || len(h.past) > maxPast:
		h.frozen = tidy(append(append(h.frozen, h.pending(0, r.Epoch)...), h.passed()...))
		h.fresh, h.blank = !ok, !ok
	default:
		// What an earlier epoch left to copy can still be copied: the members keep it.
		h.frozen = tidy(append(h.frozen, h.passed()...))
		h.fresh, carried = false, h.incomplete()
	}
	if h.blank {
		// What it voted in this epoch is lost. Older epochs are the concern of the others, whose doubts come
		// with their tables.
		past = [][]string{r.Names}
	}
	h.roster, h.past = r, carried
	for _, names := range past {
		h.past = append(h.past, earlier{names, now, r.Epoch})
	}
	h.copied, h.polled = map[string]copied{}, map[string]clock.Time{}
	if !h.fresh {
		h.copied[h.Self] = copied{}
	}
}

// incomplete returns the rosters of which a key's token may still be missing here.
func (h *Holder) incomplete() []earlier {
	var out []earlier
	for _, e := range h.past {
		if len(h.missing(e.names)) >= Need(min(holders, len(e.names))) {
			out = append(out, e)
		}
	}
	return out
}

// missing returns the members of a roster whose tables were not copied, or only in part.
func (h *Holder) missing(names []string) []string {
	var out []string
	for _, n := range names {
		if c, ok := h.copied[n]; !ok || len(c.lacks) > 0 || c.fresh && !h.blank {
			out = append(out, n)
		}
	}
	return out
}

// pending is the present doubt about each roster whose copying began in an epoch in [from, to).
func (h *Holder) pending(from, to uint64) []doubt {
	var out []doubt
	for _, e := range h.past {
		if m := h.missing(e.names); len(m) > 0 && e.epoch >= from && e.epoch < to {
			out = append(out, doubt{names: e.names, missing: m, at: e.since})
		}
	}
	return out
}

// passed is the doubts that came with the tables of others.
func (h *Holder) passed() []doubt {
	var out []doubt
	for _, n := range slices.Sorted(maps.Keys(h.copied)) {
		out = append(out, h.copied[n].doubts...)
	}
	return out
}

// Vote takes a claim.
func (h *Holder) Vote(now clock.Time, a Ask) Vote {
	v := Vote{Inc: h.Inc, Epoch: h.roster.Epoch}
	switch {
	case a.Domain != h.roster.Domain || a.Epoch > h.roster.Epoch:
		v.Answer = Ahead
		return v
	case a.Epoch < h.roster.Epoch:
		v.Answer = Behind
		return v
	}
	three := h.roster.Trio(a.Key)
	if !slices.Contains(three, h.Self) {
		v.Answer = Unsure
		return v
	}
	v.Known = map[string]uint64{}
	for _, n := range three {
		if inc, ok := h.known[n]; ok {
			v.Known[n] = inc
		}
	}
	if r, ok := h.table[a.Key]; ok && now.Sub(r.at) <= h.Window {
		if v.Answer, v.Token = Other, r.token; r.token == a.Token {
			v.Answer = Yes
		}
		if v.Answer == Other || !h.unsure(now, a.Key) {
			return v
		}
	}
	switch {
	case h.unsure(now, a.Key):
		v.Answer = Unsure
	case len(h.table) >= maxTable:
		v.Answer = Overfull
	default:
		h.table[a.Key] = register{token: a.Token, at: now}
		v.Answer = Yes
	}
	return v
}

// unsure reports whether enough holders of the key in an earlier roster, or earlier incarnations in this
// one, may have recorded a token that is not in this table.
func (h *Holder) unsure(now clock.Time, key string) bool {
	current := func(d doubt) bool { return now.Sub(d.at) <= h.Window && d.covers(key) }
	if slices.ContainsFunc(h.frozen, current) || slices.ContainsFunc(h.passed(), current) {
		return true
	}
	for _, e := range h.past {
		if now.Sub(e.since) > h.Window {
			continue
		}
		n, three := 0, trio(e.names, key)
		for _, m := range three {
			if !h.has(m, three) {
				n++
			}
		}
		if len(three) > 0 && n >= Need(len(three)) {
			return true
		}
	}
	return false
}

// has reports whether the table of m was copied as far as a trio is concerned. A member that restarted in
// this epoch has the trio's claims only if it has copied the others of the trio.
func (h *Holder) has(m string, three []string) bool {
	c, ok := h.copied[m]
	if !ok || c.fresh && !h.blank {
		return false
	}
	return !slices.ContainsFunc(three, func(s string) bool { return s != m && slices.Contains(c.lacks, s) })
}

// tidy drops repeated doubts, which come with many tables, and those that concern no key.
func tidy(ds []doubt) []doubt {
	var out []doubt
	for _, d := range ds {
		if len(d.missing) < Need(min(holders, len(d.names))) {
			continue
		}
		i := slices.IndexFunc(out, func(o doubt) bool {
			return slices.Equal(o.names, d.names) && slices.Equal(o.missing, d.missing)
		})
		if i < 0 {
			out = append(out, d)
			continue
		}
		out[i].at = max(out[i].at, d.at)
	}
	return out
}

func (d doubt) covers(key string) bool {
	t, n := trio(d.names, key), 0
	for _, s := range t {
		if slices.Contains(d.missing, s) {
			n++
		}
	}
	return n >= Need(len(t))
}

// Pull answers a member that copies this table.
func (h *Holder) Pull(now clock.Time, from string, inc uint64, p Pull) Table {
	t := Table{
		Epoch: h.roster.Epoch, Inc: h.Inc, Fresh: h.fresh,
		Ready: p.Domain == h.roster.Domain && p.Epoch == h.roster.Epoch,
	}
	if !t.Ready || inc < h.known[from] {
		t.Ready = false
		return t
	}
	h.known[from] = inc
	for _, k := range slices.Sorted(maps.Keys(h.table)) {
		if r := h.table[k]; now.Sub(r.at) <= h.Window && h.roster.held(k, from) {
			t.Registers = append(t.Registers, Register{Key: k, Token: r.token, Age: now.Sub(r.at)})
		}
	}
	// The asker copies the older rosters for itself, unless its process is new in this epoch.
	ds := append(slices.Clone(h.frozen), h.pending(0, h.roster.Epoch)...)
	if p.Blank || h.blank {
		ds = append(ds, h.passed()...)
	}
	switch {
	case h.blank:
		t.Lacks = h.lacks()
	case p.Blank:
		ds = append(ds, h.pending(h.roster.Epoch, h.roster.Epoch+1)...)
	}
	for _, d := range tidy(ds) {
		if now.Sub(d.at) <= h.Window {
			t.Doubts = append(t.Doubts, Doubt{Names: d.names, Missing: d.missing, Age: now.Sub(d.at)})
		}
	}
	return t
}

// lacks lists the other members whose tables this restarted holder does not have in full.
func (h *Holder) lacks() []string {
	var out []string
	for _, n := range h.roster.Names {
		if c, ok := h.copied[n]; n != h.Self && (!ok || len(c.lacks) > 0) {
			out = append(out, n)
		}
	}
	return out
}

// Copy takes a member's table. A vote of the member's earlier incarnations no longer counts with this
// holder's: this holder may have forgotten that it once told so.
func (h *Holder) Copy(now clock.Time, from string, t Table) {
	if !t.Ready || t.Epoch != h.roster.Epoch || t.Inc < h.known[from] {
		return
	}
	h.known[from] = t.Inc
	for _, r := range t.Registers {
		have, ok := h.table[r.Key]
		at := now.Add(-r.Age)
		switch {
		case !ok || now.Sub(have.at) > h.Window:
			h.table[r.Key] = register{token: r.Token, at: at}
		case have.token != r.Token:
			h.table[r.Key] = register{at: max(have.at, at)}
		}
	}
	ds := make([]doubt, 0, len(t.Doubts))
	for _, d := range t.Doubts {
		ds = append(ds, doubt{names: d.Names, missing: d.Missing, at: now.Add(-d.Age)})
	}
	h.copied[from] = copied{fresh: t.Fresh, lacks: t.Lacks, doubts: ds}
}

// Tick returns the members to ask for their tables, and drops what the window has passed.
func (h *Holder) Tick(now clock.Time) []SendPull {
	maps.DeleteFunc(h.table, func(_ string, r register) bool { return now.Sub(r.at) > h.Window })
	h.frozen = slices.DeleteFunc(h.frozen, func(d doubt) bool { return now.Sub(d.at) > h.Window })
	h.past = slices.DeleteFunc(h.past, func(e earlier) bool { return now.Sub(e.since) > h.Window })
	if len(h.past) == 0 {
		h.blank = false // and no copy is needed
		return nil
	}
	var out []SendPull
	for _, e := range h.past {
		for _, n := range e.names {
			c, ok := h.copied[n]
			if n == h.Self || ok && len(c.lacks)+len(c.doubts) == 0 || h.polled[n] != 0 && now.Sub(h.polled[n]) < pollEvery {
				continue
			}
			h.polled[n] = now
			out = append(out, SendPull{To: n, Pull: Pull{Domain: h.roster.Domain, Epoch: h.roster.Epoch, Blank: h.blank}})
		}
	}
	return out
}
