package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"crypto/sha256"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"shallotrun/core/clock"
	"shallotrun/core/work"
	"shallotrun/io/platform"
)

// sealEvery is the interval at which the open batch is written.
const sealEvery = 100 * time.Millisecond

// direct files bills and claims in the platform alone: a bill is filed when its batch was created. It serves
// neither bills nor keyed calls during an outage.
type direct struct {
	prefix string
	clock  clock.Clock
	client *platform.Client
	log    zerolog.Logger

	mu   sync.Mutex
	seq  int
	open []work.Bill
	done chan struct{}
}

func newDirect(name string, c clock.Clock, p *platform.Client, log zerolog.Logger) *direct {
	return &direct{prefix: fmt.Sprintf("%s-%d", name, c.Wall()), clock: c, client: p, log: log, done: make(chan struct{})}
}

// Holder returns no holder: there are no copies.
func (d *direct) Holder(string) string { return "" }

// Full reports false.
func (d *direct) Full() bool { return false }

// File adds the bill to the open batch and waits until it was created.
func (d *direct) File(ctx context.Context, b work.Bill, _ string) error {
	d.mu.Lock()
	d.open = append(d.open, b)
	done := d.done
	d.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take fails: without copies nobody can tell whether the first VM filed its bill.
func (d *direct) Take(context.Context, string, string) error {
	return oops.Errorf("bills: a request cannot be taken over without a copy holder")
}

// Claim creates the claim of a key. A lost response is settled by reading back.
func (d *direct) Claim(ctx context.Context, workspace, key, request string) error {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	name := fmt.Sprintf("%x", sum[:16])
	value, err := json.Marshal(request)
	if err != nil {
		return oops.Wrapf(err, "claim %s", name)
	}
	_, err = d.client.Create(ctx, "claims", name, value)
	var conflict *platform.Conflict
	var lost *platform.Unavailable
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &work.Refusal{Code: work.CodeClaimTaken, Status: 409, Ran: work.Unknown, Detail: "the key was used before"}
	case errors.As(err, &lost) && lost.Sent:
		if o, e := d.client.Get(ctx, "claims", name); e == nil && string(o.Value) == string(value) {
			return nil
		}
	}
	return &work.Refusal{
		Code: work.CodeClaimUnavailable, Status: 503, Ran: work.NotRun, Retry: clock.Second, Detail: err.Error(),
	}
}

func (d *direct) run(ctx context.Context) {
	t := time.NewTicker(sealEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.seal(ctx)
		}
	}
}

// seal writes the open batch until it is known to exist. The name is fixed, so a lost response cannot bill
// twice.
func (d *direct) seal(ctx context.Context) {
	d.mu.Lock()
	bills, done := d.open, d.done
	if len(bills) == 0 {
		d.mu.Unlock()
		return
	}
	d.seq++
	name := fmt.Sprintf("%s-%d", d.prefix, d.seq)
	d.open, d.done = nil, make(chan struct{})
	d.mu.Unlock()
	value, err := json.Marshal(bills)
	if err != nil {
		d.log.Error().Err(err).Msg("bills: batch cannot be encoded")
		return
	}
	for ctx.Err() == nil {
		_, err := d.client.Create(ctx, "bills", name, value)
		var conflict *platform.Conflict
		if err == nil || errors.As(err, &conflict) {
			close(done)
			return
		}
		d.log.Warn().Err(err).Str("batch", name).Msg("bills: batch not written, trying again")
		time.Sleep(sealEvery)
	}
}
