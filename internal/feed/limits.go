package feed

import (
	"sync"

	"github.com/rs/zerolog"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/limit"
)

// Limits holds the limits that backend servers name. All methods are safe for concurrent use; times are those of Clock.Boot. Log
// is set before Init, which is called before any other method.
type Limits struct {
	Log zerolog.Logger

	mu    sync.Mutex
	table limit.Table
}

// Init sets the number that identifies what this VM knows to others.
func (l *Limits) Init(id uint64) { l.table.Init(max(id, 1)) }

// RecordLimit records what an answer says about the limit of its server: an answer that came now to a request that was sent at a
// time.
func (l *Limits) RecordLimit(now, sent clock.Time, v backend.Server, n limit.Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, changed := l.table.Record(now, sent, limit.Server{Service: v.Service, ID: v.ID, Born: v.Born}, n)
	if changed {
		l.Log.Info().Str("server", v.ID).Str("service", v.Service).Bool("named", n.Kind == limit.Named).Float64("rate", n.Rate).
			Float64("before", before.Rate).Msg("limits: an answer changes the limit of its server")
	}
}

// Limited returns the number of servers of each service that name a limit.
func (l *Limits) Limited(now clock.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int)
	for s := range l.table.Limits(now) {
		out[s.Service]++
	}
	return out
}
