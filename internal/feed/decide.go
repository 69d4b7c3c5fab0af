package feed

import (
	"context"
	"errors"
	"math/rand/v2"

	"shallotrun/core/canary"
	"shallotrun/core/clock"
)

// decideInterval is the mean interval at which the orders are checked. It is jittered, so that the other VMs mostly read the
// first VM's write before they attempt their own.
const decideInterval = 300 * clock.Millisecond

// decideOrders writes new states of orders to the store when this VM's rollouts call for them, until ctx ends.
func (f *Feed) decideOrders(ctx context.Context) {
	var logged clock.Time
	for ctx.Err() == nil {
		sleep(ctx, clock.Span(float64(decideInterval)*(0.5+rand.Float64())))
		now := f.Clock.Now()
		if now.Sub(logged) >= unfinishedLogInterval {
			f.logUnfinished(now)
			logged = now
		}
		orders, reasons := f.Orders.due(now, f.Clock.Wall())
		for i, o := range orders {
			if o.State == canary.Done && !f.storeSettled() {
				continue
			}
			err := f.Store.SetOrder(ctx, o)
			l := f.Log.Info()
			if err != nil && !errors.Is(err, ErrConflict) {
				l = f.Log.Warn()
			}
			l.Err(err).Str("service", o.Service).Str("version", o.Target).Stringer("state", o.State).Str("reason", reasons[i]).
				Uint64("revision", o.Rev).Msg("feed: write order state")
		}
	}
}

// unfinishedLogInterval is the interval at which this VM logs the orders that are not finished in time.
const unfinishedLogInterval = clock.Second

// logUnfinished logs the orders whose time has come to be finished and that are not.
func (f *Feed) logUnfinished(now clock.Time) {
	orders, reasons := f.Orders.unfinished(now)
	for i, o := range orders {
		f.Log.Info().Str("service", o.Service).Str("version", o.Target).Str("reason", reasons[i]).Uint64("revision", o.Rev).
			Msg("feed: order is not finished yet")
	}
}

// settlePeriod is how long the store must have been available before an order is finished. A VM that found the new version bad
// during an outage writes its verdict when the store recovers, and must get to do so before another VM finishes the order.
const settlePeriod = 3 * clock.Second

// storeSettled reports whether no outage was recorded within the settle period.
func (f *Feed) storeSettled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastOutage == 0 || f.Clock.Now().Sub(f.lastOutage) >= settlePeriod
}

// RecordOutage records that changes in the store did not reach this VM through the VM that it follows.
func (f *Feed) RecordOutage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastOutage = f.Clock.Now()
}
