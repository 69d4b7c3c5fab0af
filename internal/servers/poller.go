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

// maxBackoff bounds the wait between two polls while the platform does not answer.
const maxBackoff = 8 * clock.Second

// Poller reads the platform's list of VMs. Set the exported fields before Run.
type Poller struct {
	Registry *Registry
	Client   *platform.Client
	Log      zerolog.Logger
	Every    clock.Span             // between two polls, 0 means 1 s
	Contact  func(asked clock.Time) // called after each response of the platform; nil calls nothing
}

// Run polls until ctx ends, with jitter so that VMs started together spread over the interval.
func (p *Poller) Run(ctx context.Context) {
	every := p.Every
	if every == 0 {
		every = clock.Second
	}
	back := every
	for ctx.Err() == nil {
		err := p.Poll(ctx)
		p.Registry.Expire()
		back = next(back, every, err)
		t := time.NewTimer((back/2 + clock.Span(rand.Int64N(int64(back)+1))).Std())
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
	}
}

// Poll reads the list once.
func (p *Poller) Poll(ctx context.Context) error {
	at := p.Registry.Clock.Now()
	list, err := p.Client.VMs(ctx)
	if err != nil {
		p.Log.Debug().Err(err).Msg("servers: the platform gave no list of VMs, the last one stays")
		return err
	}
	if p.Contact != nil {
		p.Contact(at)
	}
	p.Registry.List(list, at)
	return nil
}

// next returns the wait after a poll.
func next(back, every clock.Span, err error) clock.Span {
	if err == nil {
		return every
	}
	back = min(2*back, max(every, maxBackoff))
	var limited *platform.Limited
	if errors.As(err, &limited) {
		back = max(back, min(limited.Retry, maxBackoff))
	}
	return back
}
