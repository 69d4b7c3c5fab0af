package gateway

import "shallotrun/core/clock"

// defaultPrefillTime is the prefill time of a prompt token with the largest model that is assumed before any was measured, in
// milliseconds.
const defaultPrefillTime = 0.05

// prefillTimes holds the smoothed prefill time of a prompt token for each model, in milliseconds, the servers' queues included.
type prefillTimes map[string]float64

// minPrefillTokens is the number of prompt tokens from which the time to the first event is a measure of the prefill time, and
// prefillWindow the number of prompts over which the mean is smoothed.
const (
	minPrefillTokens = 2000
	prefillWindow    = 20
)

// get returns the prefill time of a token with a model, or prior if none was measured.
func (r prefillTimes) get(model string, prior float64) float64 {
	if ms, ok := r[model]; ok {
		return ms
	}
	return prior
}

// add adds a measured time to the mean of a model, which begins with prior.
func (r prefillTimes) add(model string, ms, prior float64) {
	r[model] = r.get(model, prior) + (ms-r.get(model, prior))/prefillWindow
}

// addPrefillTime records the time to the first event of a prompt with a number of uncached tokens.
func (p *pool) addPrefillTime(model string, tokens float64, first clock.Span, prior float64) {
	if tokens < minPrefillTokens {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefillTimes.add(model, float64(first)/tokens, prior)
}
