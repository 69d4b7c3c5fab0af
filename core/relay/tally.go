package relay

import (
	"cmp"
	"slices"
	"strings"
)

// maxRows bounds the counters. At 18 versions it holds 340 VMs with their restarts of a day in a domain.
const maxRows = 20000

// Row is what one source counted about one version since it started.
type Row struct {
	Source  string `cbor:"source"`  // VM/INCARNATION within a domain, DOMAIN between domains
	Version string `cbor:"version"` // MODEL@VERSION
	Good    uint64 `cbor:"good"`
	Bad     uint64 `cbor:"bad"`
}

// Tallies pools evidence. Set the exported fields before use. It is not safe for concurrent use.
type Tallies struct {
	Self   string // VM/INCARNATION
	Domain string

	rows map[key]*counter
}

type key struct{ source, version string }

type counter struct {
	good, bad uint64
	changed   bool // since the last Own or Sums
}

// Count records a result that this VM saw.
func (t *Tallies) Count(version string, failed bool) {
	c := t.row(t.Self, version)
	if c == nil {
		return
	}
	if failed {
		c.bad++
	} else {
		c.good++
	}
	c.changed = true
}

// Merge takes the rows of a peer of a domain and returns those that were news. The VMs of another domain
// count in that domain's sum only.
func (t *Tallies) Merge(domain string, rows []Row) []Row {
	var news []Row
	for _, r := range rows {
		if r.Source == t.Self || r.Source == t.Domain || domain != t.Domain && strings.Contains(r.Source, "/") {
			continue
		}
		c := t.row(r.Source, r.Version)
		if c == nil || r.Good <= c.good && r.Bad <= c.bad {
			continue
		}
		c.good, c.bad, c.changed = max(c.good, r.Good), max(c.bad, r.Bad), true
		news = append(news, r)
	}
	return news
}

// Own returns the own rows that changed since the last call, or all of them.
func (t *Tallies) Own(all bool) []Row {
	return t.take(func(k key, c *counter) bool {
		if k.source != t.Self || !all && !c.changed {
			return false
		}
		c.changed = false
		return true
	})
}

// Sums returns the domain's sums of the versions for which a row of the domain changed since the last call,
// or of all.
func (t *Tallies) Sums(all bool) []Row {
	sums, changed := map[string]Row{}, map[string]bool{}
	for k, c := range t.rows {
		if !strings.Contains(k.source, "/") {
			continue // another domain's sum
		}
		r := sums[k.version]
		sums[k.version] = Row{Source: t.Domain, Version: k.version, Good: r.Good + c.good, Bad: r.Bad + c.bad}
		changed[k.version] = changed[k.version] || c.changed || all
		if k.source != t.Self {
			c.changed = false
		}
	}
	var out []Row
	for v, r := range sums {
		if changed[v] {
			out = append(out, r)
		}
	}
	return sorted(out)
}

// Rows returns everything that is known: a row for each VM of the domain and one for each other domain.
func (t *Tallies) Rows() []Row { return t.take(func(key, *counter) bool { return true }) }

func (t *Tallies) take(f func(key, *counter) bool) []Row {
	var out []Row
	for k, c := range t.rows {
		if f(k, c) {
			out = append(out, Row{Source: k.source, Version: k.version, Good: c.good, Bad: c.bad})
		}
	}
	return sorted(out)
}

func (t *Tallies) row(source, version string) *counter {
	k := key{source, version}
	if c := t.rows[k]; c != nil {
		return c
	}
	if len(t.rows) >= maxRows {
		return nil
	}
	if t.rows == nil {
		t.rows = map[key]*counter{}
	}
	t.rows[k] = &counter{}
	return t.rows[k]
}

func sorted(rows []Row) []Row {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Source, b.Source))
	})
	return rows
}
