package feed

import (
	"sync"
	"sync/atomic"

	"shallotrun/core/clock"
	"shallotrun/core/load"
)

// loadTTL is the age after which the report of another VM is left out of the sums. It allows for two lost queries.
const loadTTL = 1200 * clock.Millisecond

const (
	// linkFraction is the fraction of a VM's link that may be used to send loads to the VMs that follow it.
	linkFraction = 0.1
	// usageSize is the approximate encoded size of a load.Usage, in bytes.
	usageSize = 25
	// learnedSize is that of a load.Learned.
	learnedSize = 50
	// maxSendInterval is the longest time between two replies with loads. Together with the latency of a reply it is below
	// loadTTL, so the loads do not expire in between.
	maxSendInterval = 800 * clock.Millisecond
)

// Loads sums the load that the VMs put on the backend servers. Each VM sends the sum over itself and the VMs that follow it to
// the VM that it follows, and gets back the sum over all others. All methods are safe for concurrent use. Usage, LinkMbps
// and Learn are set before the feed runs.
type Loads struct {
	// Usage returns this VM's own load; nil means none.
	Usage func() []load.Usage
	// LinkMbps is the bandwidth of this VM's link in Mbit/s. 0 means unknown: every reply then contains loads.
	LinkMbps int
	Learn    bool // the loads contain evidence of the servers' capacity

	mu              sync.Mutex
	followerReports load.Aggregator
	lastSent        map[string]clock.Time // by VM that follows this one: when loads were last sent to it
	upstreamTotals  load.Totals           // over all VMs except this one and those that follow it, directly or not
	others          atomic.Pointer[load.Totals]
}

// Report returns the load of this VM and those that follow it.
func (l *Loads) Report(now clock.Time) []load.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.sumFollowers(now, "")
	v.Add(l.ownUsage(), 0)
	return v.List()
}

// Exchange records the report of a VM that follows this one, and returns the sums over all others, or false if they were sent to
// that VM less than sendInterval ago: sending the loads of many servers to many VMs several times a second would fill the link.
func (l *Loads) Exchange(now clock.Time, from string, usage []load.Usage) ([]load.Usage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followerReports.ReportTTL = loadTTL
	l.followerReports.Put(now, from, usage)
	if at, ok := l.lastSent[from]; ok && now.Sub(at) < l.sendInterval() {
		return nil, false
	}
	if l.lastSent == nil {
		l.lastSent = make(map[string]clock.Time)
	}
	for name, at := range l.lastSent {
		if now.Sub(at) > loadTTL {
			delete(l.lastSent, name)
		}
	}
	l.lastSent[from] = now
	v := l.sumExcept(now, from)
	v.Add(l.ownUsage(), 0)
	return v.List(), true
}

// sendInterval returns the least time between two replies with loads to the same VM.
func (l *Loads) sendInterval() clock.Span {
	if l.LinkMbps <= 0 {
		return 0
	}
	const bytes = 1e6 / 8 // in a Mbit
	size := usageSize
	if l.Learn {
		size += learnedSize
	}
	all := float64(len(l.lastSent) * max(l.followerReports.Servers(), len(l.upstreamTotals.Uses)) * size)
	return min(clock.Span(all/(linkFraction*bytes*float64(l.LinkMbps))*float64(clock.Second)), maxSendInterval)
}

// SetUpstream replaces the sums over all other VMs, as received from the VM that this one follows.
func (l *Loads) SetUpstream(now clock.Time, usage []load.Usage) {
	l.mu.Lock()
	l.upstreamTotals = load.Totals{At: now, Uses: make(map[string]load.Usage, len(usage))}
	l.upstreamTotals.Add(usage, 0)
	l.mu.Unlock()
	l.Refresh(now)
}

// Refresh computes the sums that Others returns.
func (l *Loads) Refresh(now clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.sumExcept(now, "")
	l.others.Store(&v)
}

// Others returns the sums over all other VMs as of the last Refresh, nil if they are older than loadTTL.
func (l *Loads) Others(now clock.Time) *load.Totals {
	v := l.others.Load()
	if v == nil || now.Sub(v.At) > loadTTL {
		return nil
	}
	return v
}

// sumExcept returns the sums over the VMs that follow this one, except the excluded one, and those from upstream.
func (l *Loads) sumExcept(now clock.Time, exclude string) load.Totals {
	v := l.sumFollowers(now, exclude)
	if age := now.Sub(l.upstreamTotals.At); age <= loadTTL {
		v.Add(l.upstreamTotals.List(), age)
	}
	return v
}

// sumFollowers returns the sums over the VMs that follow this one, except the excluded one.
func (l *Loads) sumFollowers(now clock.Time, exclude string) load.Totals {
	l.followerReports.ReportTTL = loadTTL
	return l.followerReports.Sum(now, exclude)
}

func (l *Loads) ownUsage() []load.Usage {
	if l.Usage == nil {
		return nil
	}
	return l.Usage()
}
