package command

import (
	"context"
	"sync"
	"time"

	"shallotrun/core/clock"
	"shallotrun/io/operator"
	"shallotrun/io/platform"
)

// status queries the operator ports in -entries, and if the platform's address is set, its store for the accepted revision.
// Other VMs are shown with the state that the queried ones have of them from gossip.
func (c *Command) status(ctx context.Context) error {
	addrs := c.addrs()
	if len(addrs) == 0 {
		return usageError{"no entry VM to ask: -entries or SHALLOT_ENTRIES"}
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		all  []operator.Status
		o    = outcome{Outcome: "status"}
		last error
	)
	for _, addr := range addrs {
		wg.Go(func() {
			s, err := operator.Fetch(ctx, addr, c.login())
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				last = err
				o.Missing = append(o.Missing, err.Error())
				return
			}
			all = append(all, s)
		})
	}
	wg.Wait()
	if len(all) == 0 {
		return &platform.Unavailable{Cause: last}
	}
	if c.platform != "" {
		if v, err := c.writer.Read(ctx); err != nil {
			o.Missing = append(o.Missing, err.Error())
		} else {
			o.Revision = v.Revision
		}
	}
	now := clock.Clock{}.Wall()
	f := operator.MergeStatuses(all, now)
	o.Fleet = &f
	c.printFleet(o, now)
	if len(o.Missing) > 0 || len(f.Halts) > 0 || f.Refused != nil || f.Lagging() {
		return exitStatus{ExitAttention}
	}
	return nil
}
