package gateway

const (
	// maxSharedParts is the number of shared parts of a prompt that are considered, and maxPartLength the length of their
	// identifiers in bytes. Both bound what one caller can make this VM keep, log and tell others.
	maxSharedParts = 16
	maxPartLength  = 64
)

// sharedParts returns the identifiers of the prompt's parts that other requests may share: all but the last one.
func (x *exchange) sharedParts() []string {
	n := min(len(x.request.Parts)-1, maxSharedParts)
	if n <= 0 {
		return nil
	}
	out := make([]string, 0, n)
	for _, p := range x.request.Parts[:n] {
		out = append(out, p.ID[:min(len(p.ID), maxPartLength)])
	}
	return out
}

// serverEnded reports whether the process of the server has ended as it began to answer: the connection broke between the head
// of the answer and its first event, and the server's address refuses connections.
func (x *exchange) serverEnded(f *Fault, why endCause) bool {
	if f.Kind != OutcomeUnknown || why != causeNone || !x.headArrived || x.firstArrived {
		return false
	}
	if !x.g.Backend.Ended(x.server) {
		return false
	}
	x.g.metrics.serversEnded.Inc()
	return true
}
