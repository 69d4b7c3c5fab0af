package engine

import "shallotrun/core/clock"

// Outcomes of generations.
const (
	outcomeDone      = "done"
	outcomeCancelled = "cancelled"
	outcomeCrashed   = "crashed"
)

// generation is an answer that waits, is generated or has ended. All fields are guarded by the engine's lock.
type generation struct {
	request, model, version, prompt, session string

	priority     int
	promptTokens int
	length       int
	endReason    string
	prefillEnd   clock.Time // no token is generated before
	tokens       int        // generated so far
	outcome      string     // "" while it waits or runs
	ended        clock.Time
	changed      chan struct{} // closed at the next change
}

// notify wakes all streams of g.
func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// key returns the key of a generation. The request ID alone is not unique: the stages of a cascade share it.
func key(request, model, version string) string {
	return request + "\x00" + model + "@" + version
}
