package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"shallotrun/core/clock"
)

// BenchmarkLongPrompts measures what a VM does for prompts of 900 parts while it remembers crashes whose parts were never answered.
func BenchmarkLongPrompts(b *testing.B) {
	l := newLedger(1)
	for i := range 96 {
		l.crashUnder(clock.Time(1000+400*i), i, uint64(i), slices.Concat(numbered("a", named), numbered(fmt.Sprint("b", i%8), 900))...)
	}
	parts := slices.Concat(numbered("a", named), numbered("c", 900))
	now := clock.Time(100_000)
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			l.refuses(now, parts...)
		}
	})
	b.Run("short start", func(b *testing.B) {
		for b.Loop() {
			l.startUnder(now, "x", "y", "z")
		}
	})
	b.Run("start", func(b *testing.B) {
		for b.Loop() {
			l.startUnder(now, parts...)
		}
	})
	b.Run("crash", func(b *testing.B) {
		n := 1000
		for b.Loop() {
			n++
			l.crashUnder(now, n, uint64(n), parts...)
			l.Rules(now)
		}
	})
}
