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

// maxReason is the maximum length of the reason of one halt in the document's note.
const maxReason = 200

// RolloutWriter writes the verdicts on canaries into the document: it withdraws halted canaries, and raises the share of canaries
// whose operators allow automatic advancement. The whole progress of a rollout is in the document, so that the next holder of
// the lease continues where the previous one stopped. Only VMs that hold a lease write, so that not every VM writes the same
// change. Two holders at the same time are safe, because the update is conditional. Set the exported fields before Run.
type RolloutWriter struct {
	Name     string      // name of this VM, for the author of the change
	Holds    func() bool // reports whether this VM holds a lease
	Store    *config.Store
	Writer   *config.Writer
	Log      zerolog.Logger
	Interval clock.Span // interval between two calls of Update; 0 means 1 s
	// CanAdvance reports whether the results allow the next stage of a canary, and the reason. If it is nil, no canary is
	// advanced.
	CanAdvance func(model, version string) (ok bool, reason string)
	Stages     rollout.Stages // nil means rollout.DefaultStages()
}

// Holds reports whether this VM holds the lease of its failure domain.
func (c *Controller) Holds() bool {
	_, ok := c.fencingToken(true)
	return ok
}

// Run calls Update at a fixed interval until ctx ends.
func (r *RolloutWriter) Run(ctx context.Context) {
	every := r.Interval
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
			if err := r.Update(ctx); err != nil {
				r.Log.Warn().Err(err).Msg("control: cannot write the state of rollouts into the document; will retry")
			}
		}
	}
}

// Update withdraws the halted canaries and advances the ones whose results allow it, in one change, if there are any. It does
// not withdraw a halted live version, because only operators can decide which version replaces it.
func (r *RolloutWriter) Update(ctx context.Context) error {
	now := r.Store.Current()
	if now == nil || !r.Holds() || len(r.haltedCanaries(now.Document)) == 0 && len(r.advanceable(now.Document)) == 0 {
		return nil
	}
	base, err := r.Writer.Read(ctx)
	if err != nil {
		return err
	}
	// A newer document may have started the rollout again, which clears the halt. Update decides again when that document is
	// in force on this VM.
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
		return nil // the next call starts from the newer document
	}
	if err != nil {
		return err
	}
	r.Log.Info().Uint64("revision", revision).Str("note", mine.Note).Msg("control: wrote the state of rollouts into the document")
	return nil
}

// withdraw withdraws the halted canaries in d and adds the reasons to its note.
func (r *RolloutWriter) withdraw(d *document.Document) error {
	for _, h := range r.haltedCanaries(d) {
		if err := d.Withdraw(h.Model, h.Version, ""); err != nil {
			return err
		}
		reason := strconv.QuoteToASCII(h.Reason)
		d.Note += fmt.Sprintf("%s@%s halted: %s; ", h.Model, h.Version, reason[:min(len(reason), maxReason)])
	}
	return nil
}

// advance moves the canaries that may be advanced to their next stage in d and adds the reasons to its note. At most one canary
// of a model becomes live in one change.
func (r *RolloutWriter) advance(d *document.Document) error {
	stages := r.Stages
	if stages == nil {
		stages = rollout.DefaultStages()
	}
	promoted := map[string]bool{}
	for _, c := range r.advanceable(d) {
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

// advancement is a canary whose results allow its next stage.
type advancement struct{ model, version, reason string }

// advanceable returns the canaries that operators let advance automatically, that are not halted and whose results allow the
// next stage.
func (r *RolloutWriter) advanceable(d *document.Document) []advancement {
	if r.CanAdvance == nil {
		return nil
	}
	var out []advancement
	for _, m := range d.Models {
		for _, v := range m.Versions {
			if !v.Auto || v.State != document.Canary || r.Store.Halted(m.Name, v.Name) {
				continue
			}
			if ok, reason := r.CanAdvance(m.Name, v.Name); ok {
				out = append(out, advancement{m.Name, v.Name, reason})
			}
		}
	}
	return out
}

// haltedCanaries returns the active halts of the versions that are canaries in d.
func (r *RolloutWriter) haltedCanaries(d *document.Document) []config.Halt {
	var out []config.Halt
	for _, h := range r.Store.Halts() {
		if v := d.Version(h.Model, h.Version); h.Active() && v != nil && v.State == document.Canary {
			out = append(out, h)
		}
	}
	return out
}
