package share

import (
	"slices"

	"shallotrun/core/clock"
)

// turns divides slots that are too few among the workspaces of one VM: while a workspace that was refused is expected to return, no
// workspace that had more slots lately takes another one.
type turns struct {
	uses    map[string][]clock.Time // by workspace: when it took a slot
	expects map[string]clock.Time   // by refused workspace: until when it is expected to return
}

const (
	// turnWindow is the time over which the slots of a workspace are counted.
	turnWindow = 10 * clock.Second
	// returnSpan is how long after the time that it was told a refused workspace is expected to return.
	returnSpan = 2 * clock.Second
)

// mayTake reports whether a workspace may take a slot.
func (t *turns) mayTake(now clock.Time, workspace string) bool {
	had := t.recent(now, workspace)
	for w, until := range t.expects {
		switch {
		case now >= until:
			delete(t.expects, w)
		case w != workspace && t.recent(now, w) < had:
			return false
		}
	}
	return true
}

// recent returns the number of slots that a workspace took lately.
func (t *turns) recent(now clock.Time, workspace string) int {
	in := slices.DeleteFunc(t.uses[workspace], func(at clock.Time) bool { return now.Sub(at) >= turnWindow })
	if len(in) == 0 {
		delete(t.uses, workspace)
		return 0
	}
	t.uses[workspace] = in
	return len(in)
}

// took records that a workspace took a slot.
func (t *turns) took(now clock.Time, workspace string) {
	if t.uses == nil {
		t.uses = make(map[string][]clock.Time)
	}
	t.uses[workspace] = append(t.uses[workspace], now)
	delete(t.expects, workspace)
}

// refused records that a workspace was refused and told to return after retry.
func (t *turns) refused(now clock.Time, workspace string, retry clock.Span) {
	if t.expects == nil {
		t.expects = make(map[string]clock.Time)
	}
	t.expects[workspace] = now.Add(retry + returnSpan)
}
