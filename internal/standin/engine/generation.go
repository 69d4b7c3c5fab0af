package engine

import "shallotrun/core/clock"

// How a generation ended.
const (
	outcomeDone      = "done"
	outcomeCancelled = "cancelled"
	outcomeCrashed   = "crashed"
)

// generation is one answer in the making. All fields are guarded by the engine's lock.
type generation struct {
	request, model, version, prompt, session string

	priority     int
	promptTokens int
	length       int
	reason       string
	ready        clock.Time // end of the prompt's processing
	tokens       int        // generated so far
	outcome      string     // "" while it waits or runs
	ended        clock.Time
	changed      chan struct{} // closed at the next change
}

// signal wakes all streams of g.
func (g *generation) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// key tells generations apart: the stages of a cascade share the request id.
func key(request, model, version string) string {
	return request + "\x00" + model + "@" + version
}
