package servers

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"shallotrun/core/clock"
	"shallotrun/io/platform"
)

const (
	// maxBackoff bounds the backoff between two polls while the platform does not answer.
	maxBackoff = 8 * clock.Second
	// rowBytes is the approximate size of a row in the platform's list.
	rowBytes = 160
	// bytesPerSecond is the rate at which a VM reads the list, as part of the 18 KB/s for all control traffic. The list of a
	// large fleet has 4,140 rows, so each VM reads it every 83 s. The 34 VMs of a failure domain together read it every 2.5 s,
	// and send the changes to their peers.
	bytesPerSecond = 8000
)

const (
	// pollTimeout is the timeout for a read of a short list. One read that times out on a silent connection and a second one on a
	// new connection fit into the 3 s after which a leaving server must get no new work.
	pollTimeout = 800 * clock.Millisecond
	// rowsPerMilli is the number of rows for which the timeout is extended by 1 ms.
	rowsPerMilli = 4
	// firstRetryDelay is the delay after the first failed read. The backoff begins with the second failure in a row.
	firstRetryDelay = 100 * clock.Millisecond
)

// Poller reads the platform's list of VMs. Set the exported fields before Run.
type Poller struct {
	Registry *Registry
	Client   *platform.Client
	Log      zerolog.Logger
	Interval clock.Span             // interval between two polls of a short list; 0 means 1 s
	OnChange func(Delta)            // called with the changes found by a poll, to send them to peers; may be nil
	OnAnswer func(asked clock.Time) // called after each successful read with the time of its request; may be nil
}

// Run polls until ctx ends, with jitter, so that the polls of VMs that were started together are spread over the interval.
func (p *Poller) Run(ctx context.Context) {
	every := p.Interval
	if every == 0 {
		every = clock.Second
	}
	delay, failed := every, false
	for ctx.Err() == nil {
		err := p.Poll(ctx)
		p.Registry.Expire()
		listed, _ := p.Registry.LastList()
		if err != nil && !failed {
			delay = firstRetryDelay // a silent connection fails only one read, because the next read opens a new one
		} else {
			delay = nextDelay(delay, pollInterval(every, len(listed)), err)
		}
		failed = err != nil
		t := time.NewTimer((delay/2 + clock.Span(rand.Int64N(int64(delay)+1))).Std())
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
	}
}

// Poll reads the list once and passes it to the Registry. After an error the last list stays.
func (p *Poller) Poll(ctx context.Context) error {
	listed, _ := p.Registry.LastList()
	ctx, cancel := context.WithTimeout(ctx, (pollTimeout + clock.Span(len(listed))/rowsPerMilli).Std())
	defer cancel()
	at := p.Registry.Clock.Now()
	list, err := p.Client.VMs(ctx)
	if err != nil {
		p.Log.Debug().Err(err).Msg("servers: cannot read the list of VMs from the platform; the last one stays in use")
		return err
	}
	if p.OnAnswer != nil {
		p.OnAnswer(at)
	}
	d, _ := p.Registry.SetList(list, at)
	if p.OnChange != nil && !d.Empty() {
		p.OnChange(d)
	}
	return nil
}

// pollInterval returns the time between two polls of a list with this many rows, at least every.
func pollInterval(every clock.Span, rows int) clock.Span {
	return max(every, clock.Span(rows)*rowBytes*clock.Second/bytesPerSecond)
}

// nextDelay returns the delay after a poll that returned err. back is the delay before that poll, and every the poll interval.
func nextDelay(back, every clock.Span, err error) clock.Span {
	if err == nil {
		return every
	}
	back = min(2*back, max(every, maxBackoff))
	var limited *platform.RateLimited
	if errors.As(err, &limited) {
		back = max(back, min(limited.RetryAfter, maxBackoff))
	}
	return back
}
