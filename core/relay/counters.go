package relay

import (
	"cmp"
	"slices"
	"strings"
)

// maxEntries bounds the entries, of which there is one for each source and version. It is enough for a domain of 340 VMs with
// the restarts of a day and 18 versions.
const maxEntries = 20000

// Counter holds the results that one source counted for one version since the source started.
type Counter struct {
	Source  string `cbor:"source"`  // VM/INCARNATION within a domain, DOMAIN between domains
	Version string `cbor:"version"` // MODEL@VERSION
	Good    uint64 `cbor:"good"`
	Bad     uint64 `cbor:"bad"`
}

// Counters pools the counters of all sources. Set the exported fields before use. It is not safe for concurrent use.
type Counters struct {
	Self   string // VM/INCARNATION of this VM
	Domain string // failure domain of this VM

	entries map[key]*entry
}

type key struct{ source, version string }

type entry struct {
	good, bad uint64
	changed   bool // since it was last returned by Own or Sums
}

// Add adds one result of this VM for a version. It is dropped if there is no room for another entry.
func (t *Counters) Add(version string, failed bool) {
	c := t.counter(t.Self, version)
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

// Merge merges the counters from a peer of a domain and returns those that were higher than the stored ones. Counters of single
// VMs of another domain are ignored, because they are included in that domain's sums.
func (t *Counters) Merge(domain string, counters []Counter) []Counter {
	var updated []Counter
	for _, r := range counters {
		if r.Source == t.Self || r.Source == t.Domain || domain != t.Domain && strings.Contains(r.Source, "/") {
			continue
		}
		c := t.counter(r.Source, r.Version)
		if c == nil || r.Good <= c.good && r.Bad <= c.bad {
			continue
		}
		c.good, c.bad, c.changed = max(c.good, r.Good), max(c.bad, r.Bad), true
		updated = append(updated, r)
	}
	return updated
}

// Own returns the counters of this VM that changed since the last call, or all of them if all is set.
func (t *Counters) Own(all bool) []Counter {
	return t.collect(func(k key, c *entry) bool {
		if k.source != t.Self || !all && !c.changed {
			return false
		}
		c.changed = false
		return true
	})
}

// Sums returns this domain's sums of the versions for which a counter of the domain changed since the last call, or of all
// versions if all is set.
func (t *Counters) Sums(all bool) []Counter {
	sums, changed := map[string]Counter{}, map[string]bool{}
	for k, c := range t.entries {
		if !strings.Contains(k.source, "/") {
			continue // another domain's sum
		}
		r := sums[k.version]
		sums[k.version] = Counter{Source: t.Domain, Version: k.version, Good: r.Good + c.good, Bad: r.Bad + c.bad}
		changed[k.version] = changed[k.version] || c.changed || all
		if k.source != t.Self {
			c.changed = false
		}
	}
	var out []Counter
	for v, r := range sums {
		if changed[v] {
			out = append(out, r)
		}
	}
	return sorted(out)
}

// All returns all counters: those of each VM of this domain and the sums of each other domain.
func (t *Counters) All() []Counter { return t.collect(func(key, *entry) bool { return true }) }

// collect returns the counters of the entries that f selects, sorted.
func (t *Counters) collect(f func(key, *entry) bool) []Counter {
	var out []Counter
	for k, c := range t.entries {
		if f(k, c) {
			out = append(out, Counter{Source: k.source, Version: k.version, Good: c.good, Bad: c.bad})
		}
	}
	return sorted(out)
}

// counter returns the entry of a source and version, which it creates if necessary; nil if there is no room for it.
func (t *Counters) counter(source, version string) *entry {
	k := key{source, version}
	if c := t.entries[k]; c != nil {
		return c
	}
	if len(t.entries) >= maxEntries {
		return nil
	}
	if t.entries == nil {
		t.entries = map[key]*entry{}
	}
	t.entries[k] = &entry{}
	return t.entries[k]
}

// sorted sorts counters by version and source in place and returns them.
func sorted(counters []Counter) []Counter {
	slices.SortFunc(counters, func(a, b Counter) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Source, b.Source))
	})
	return counters
}
