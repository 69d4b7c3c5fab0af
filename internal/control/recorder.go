package control

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/internal/config"
)

// noteLimit bounds the reason of a halt in the document's note.
const noteLimit = 200

// Recorder brings halts into the document: it withdraws a canary that evidence halted. Only holders of a
// lease record, which keeps the fleet from writing the same change from every VM; two holders at once are
// safe, because the update is conditional. Set the exported fields before Run.
type Recorder struct {
	Name   string // of this VM, named in the author of the change
	Holds  func() bool
	Store  *config.Store
	Writer *config.Writer
	Log    zerolog.Logger
	Every  clock.Span // between two looks, 0 means 1 s
}

// Holds reports whether this VM holds the lease of its failure domain.
func (c *Controller) Holds() bool {
	_, ok := c.acting(true)
	return ok
}

// Run records until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	every := r.Every
	if every == 0 {
		every = clock.Second
	}
	t := time.NewTicker(every.Std())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if err := r.Record(ctx); err != nil {
				r.Log.Warn().Err(err).Msg("control: a halt is not in the document yet")
			}
		}
	}
}

// Record withdraws the halted canaries in one change, if there are any. A live version that is halted is
// left to the operators: only they can say what takes its place.
func (r *Recorder) Record(ctx context.Context) error {
	now := r.Store.Current()
	if now == nil || !r.Holds() || len(r.due(now.Document)) == 0 {
		return nil
	}
	base, err := r.Writer.Read(ctx)
	if err != nil {
		return err
	}
	// A newer document may have started the roll-out again, which ends the halt; this VM looks again when
	// that document is in force here.
	if base.Revision != r.Store.Revision() {
		return nil
	}
	mine, err := base.Document.Clone()
	if err != nil {
		return err
	}
	list := r.due(mine)
	if len(list) == 0 {
		return nil
	}
	mine.Author, mine.Note = "shallotd "+r.Name, ""
	for _, h := range list {
		if err := mine.Withdraw(h.Model, h.Version, ""); err != nil {
			return err
		}
		reason := strconv.QuoteToASCII(h.Reason)
		mine.Note += fmt.Sprintf("%s@%s halted: %s; ", h.Model, h.Version, reason[:min(len(reason), noteLimit)])
	}
	mine.Note = mine.Note[:min(len(mine.Note), document.MaxNote)]
	revision, err := r.Writer.Replace(ctx, base, mine)
	var conflict *document.Conflict
	if errors.As(err, &conflict) {
		return nil // the next look starts from the newer document
	}
	if err != nil {
		return err
	}
	r.Log.Info().Uint64("revision", revision).Str("note", mine.Note).Msg("control: halted version withdrawn in the document")
	return nil
}

// due returns the halts of canaries.
func (r *Recorder) due(d *document.Document) []config.Halt {
	var out []config.Halt
	for _, h := range r.Store.Halts() {
		if v := d.Version(h.Model, h.Version); h.Active() && v != nil && v.State == document.Canary {
			out = append(out, h)
		}
	}
	return out
}
