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
	"shallotrun/core/rollout"
	"shallotrun/internal/config"
)

// noteLimit bounds the reason of a halt in the document's note.
const noteLimit = 200

// Recorder brings what evidence says into the document: it withdraws a canary that was halted, and raises the share of
// a canary that the operators let the system advance. All progress of a roll-out is in the document, so that the next
// holder of a lease goes on where the one before stopped. Only holders of a
// lease record, which keeps the fleet from writing the same change from every VM; two holders at once are
// safe, because the update is conditional. Set the exported fields before Run.
type Recorder struct {
	Name   string // of this VM, named in the author of the change
	Holds  func() bool
	Store  *config.Store
	Writer *config.Writer
	Log    zerolog.Logger
	Every  clock.Span // between two looks, 0 means 1 s
	// Advance reports whether the evidence allows the next stage of a canary, and why; nil advances nothing.
	Advance func(model, version string) (ok bool, reason string)
	Stages  rollout.Stages // nil means rollout.DefaultStages()
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

// Record withdraws the halted canaries and advances the proven ones in one change, if there are any. A live version
// that is halted is left to the operators: only they can say what takes its place.
func (r *Recorder) Record(ctx context.Context) error {
	now := r.Store.Current()
	if now == nil || !r.Holds() || len(r.due(now.Document)) == 0 && len(r.proven(now.Document)) == 0 {
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
	mine.Author, mine.Note = "shallotd "+r.Name, ""
	if err := r.withdraw(mine); err != nil {
		return err
	}
	if err := r.advance(mine); err != nil {
		return err
	}
	if mine.Note == "" {
		return nil
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
	r.Log.Info().Uint64("revision", revision).Str("note", mine.Note).Msg("control: evidence brought into the document")
	return nil
}

// withdraw withdraws the halted canaries and adds the reasons to the note.
func (r *Recorder) withdraw(d *document.Document) error {
	for _, h := range r.due(d) {
		if err := d.Withdraw(h.Model, h.Version, ""); err != nil {
			return err
		}
		reason := strconv.QuoteToASCII(h.Reason)
		d.Note += fmt.Sprintf("%s@%s halted: %s; ", h.Model, h.Version, reason[:min(len(reason), noteLimit)])
	}
	return nil
}

// advance moves the proven canaries to their next stage and adds the reasons to the note. One canary of a model
// becomes live at a time.
func (r *Recorder) advance(d *document.Document) error {
	stages := r.Stages
	if stages == nil {
		stages = rollout.DefaultStages()
	}
	promoted := map[string]bool{}
	for _, c := range r.proven(d) {
		next, _ := stages.Next(d.Version(c.model, c.version).Share)
		if promoted[c.model] {
			continue
		}
		promoted[c.model] = next == 100
		if err := d.Rollout(c.model, c.version, next); err != nil {
			return err
		}
		d.Note += fmt.Sprintf("%s@%s at %d%%: %s; ", c.model, c.version, next, c.reason)
	}
	return nil
}

// step is a canary that may be advanced.
type step struct{ model, version, reason string }

// proven returns the canaries that the evidence allows to advance.
func (r *Recorder) proven(d *document.Document) []step {
	if r.Advance == nil {
		return nil
	}
	var out []step
	for _, m := range d.Models {
		for _, v := range m.Versions {
			if !v.Auto || v.State != document.Canary || r.Store.Halted(m.Name, v.Name) {
				continue
			}
			if ok, reason := r.Advance(m.Name, v.Name); ok {
				out = append(out, step{m.Name, v.Name, reason})
			}
		}
	}
	return out
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
