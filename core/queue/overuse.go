package queue

const (
	// A tenant overuses its share if it has more running requests than overuseFactor times its fair number, plus one. The
	// tolerance keeps random variation from holding back tenants close to their share.
	overuseFactor = 1.25
	// maxFlowsSearched bounds the flows that are searched for one that may start. If none is found, the slot stays free until
	// the next call.
	maxFlowsSearched = 64
)

// started adds a request that starts to the running requests.
func (l *rankQueue) started(tenant string) {
	if l.runningByTenant == nil {
		l.runningByTenant = make(map[string]int)
	}
	l.running++
	l.runningByTenant[tenant]++
}

// ended removes a request that ended from the running requests.
func (l *rankQueue) ended(tenant string) {
	if l.runningByTenant[tenant] == 0 {
		return
	}
	l.running--
	l.runningByTenant[tenant]--
	if l.runningByTenant[tenant] == 0 {
		delete(l.runningByTenant, tenant)
	}
}

// overusing reports whether a tenant has clearly more running requests than its share by weight among the tenants with waiting
// or running requests. Tenants with only running requests are taken to have a weight of 1, and their number is estimated as the
// tenants with running requests less those with waiting ones.
func (l *rankQueue) overusing(f *flow) bool {
	others := len(l.runningByTenant) - len(l.active)
	weight := l.weight + float64(max(others, 0))
	if weight <= f.weight {
		return false
	}
	return float64(l.runningByTenant[f.tenant]) > overuseFactor*float64(l.running)*f.weight/weight+1
}

// headWithinShare returns the head of the flow with the earliest virtual start, among those searched, whose tenant does not
// overuse its share, or nil if there is none.
func (l *rankQueue) headWithinShare() *entry {
	var best *flow
	for _, f := range l.active[:min(len(l.active), maxFlowsSearched)] {
		if (best == nil || f.start < best.start) && !l.overusing(f) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.items.Front().Value.(*entry)
}
