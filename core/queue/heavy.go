package queue

const (
	// A tenant is heavy above this part of its fair number of running requests, and one more, so that tenants
	// at their share are not held back by chance.
	heavyPart = 1.25
	// Flows that are looked at to find one that may start. Beyond it the slot stays free until the next call.
	heavySearch = 64
)

// begin counts a request that starts.
func (l *lane) begin(tenant string) {
	if l.using == nil {
		l.using = make(map[string]int)
	}
	l.running++
	l.using[tenant]++
}

// end counts a request that ended.
func (l *lane) end(tenant string) {
	if l.using[tenant] == 0 {
		return
	}
	l.running--
	l.using[tenant]--
	if l.using[tenant] == 0 {
		delete(l.using, tenant)
	}
}

// heavy reports whether a tenant runs clearly more than its part by weight among the tenants that wait.
func (l *lane) heavy(f *flow) bool {
	others := len(l.using) - len(l.active)
	weight := l.weight + float64(max(others, 0))
	if weight <= f.weight {
		return false
	}
	return float64(l.using[f.tenant]) > heavyPart*float64(l.running)*f.weight/weight+1
}

// light returns the head of the first flow, in the order of service among those looked at, that is not heavy.
func (l *lane) light() *entry {
	var best *flow
	for _, f := range l.active[:min(len(l.active), heavySearch)] {
		if (best == nil || f.start < best.start) && !l.heavy(f) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.items.Front().Value.(*entry)
}
