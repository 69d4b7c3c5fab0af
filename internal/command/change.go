package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"

	"shallotrun/core/document"
	"shallotrun/internal/config"
	"shallotrun/io/platform"
)

func (c *Command) validate() error {
	if _, err := readDocument(c.args[1]); err != nil {
		return err
	}
	c.printResult(outcome{Outcome: "valid"}, "%s is valid", c.args[1])
	return nil
}

func (c *Command) show(ctx context.Context) error {
	v, err := c.writer.Read(ctx)
	if err != nil {
		return err
	}
	if v.Document == nil {
		return errors.New("the platform has no document yet")
	}
	if c.json {
		c.printJSON(outcome{Outcome: "shown", Revision: v.Revision, Document: v.Document})
		return nil
	}
	raw, err := document.Format(v.Document)
	if err != nil {
		return err
	}
	_, _ = c.Out.Write(raw)
	_, _ = fmt.Fprintf(c.Err, "revision %d by %s\n", v.Revision, v.Document.Author)
	return nil
}

func (c *Command) diff(ctx context.Context) error {
	mine, err := readDocument(c.args[1])
	if err != nil {
		return err
	}
	now, err := c.writer.Read(ctx)
	if err != nil {
		return err
	}
	changes := document.Diff(now.Document, mine)
	c.printResult(outcome{Outcome: "compared", Revision: now.Revision, Ours: changes},
		"%d difference(s) from revision %d", len(changes), now.Revision)
	c.printChanges(changes)
	if len(changes) > 0 {
		return exitStatus{ExitDifferent}
	}
	return nil
}

func (c *Command) apply(ctx context.Context) error {
	mine, err := readDocument(c.args[1])
	if err != nil {
		return err
	}
	mine.Author = c.author
	if c.note != "" {
		mine.Note = c.note
	}
	base, err := c.writer.Read(ctx)
	var invalid *config.Invalid
	if errors.As(err, &invalid) {
		_, _ = fmt.Fprintf(c.Err, "shallotctl: replacing: %v\n", err)
	} else if err != nil {
		return wrap(err, "reading the document; nothing was changed")
	}
	revision, err := uint64(0), c.checkBase(base, mine)
	if err == nil {
		revision, err = c.writer.Replace(ctx, base, mine)
	}
	var conflict *document.Conflict
	if errors.As(err, &conflict) {
		return c.reportConflict(conflict)
	}
	if err != nil {
		return err
	}
	changes := document.Diff(base.Document, mine)
	c.printResult(outcome{Outcome: "applied", Revision: revision, Ours: changes}, "applied as revision %d, before it was %d", revision, base.Revision)
	c.printChanges(changes)
	return nil
}

// checkBase returns a conflict if the document in the platform's store is not the one that the file was edited from.
func (c *Command) checkBase(now document.Snapshot, mine *document.Document) error {
	if c.from != "" {
		from, err := readDocument(c.from)
		if err != nil {
			return err
		}
		if len(document.Diff(from, now.Document)) > 0 {
			return &document.Conflict{Base: document.Snapshot{Revision: c.base, Document: from}, Current: now, Mine: mine}
		}
	}
	if c.base != 0 && c.base != now.Revision {
		// The platform's store keeps no older documents, so the changes of other operators can be told from this change
		// only with -from.
		return &document.Conflict{Base: document.Snapshot{Revision: c.base, Document: now.Document}, Current: now, Mine: mine}
	}
	return nil
}

// reportConflict prints the changes of both sides, so that neither is lost.
func (c *Command) reportConflict(e *document.Conflict) error {
	if c.json {
		c.printJSON(outcome{Outcome: outcomeNames[ExitConflict], Revision: e.Current.Revision, Error: e.Error(), Ours: e.Ours(), Theirs: e.Theirs()})
		return exitStatus{ExitConflict}
	}
	_, _ = fmt.Fprintf(c.Err, "shallotctl: conflict: %v\n", e)
	_, _ = fmt.Fprintln(c.Out, "changes of the other operators:")
	c.printChanges(e.Theirs())
	_, _ = fmt.Fprintln(c.Out, "changes of this command:")
	c.printChanges(e.Ours())
	return exitStatus{ExitConflict}
}

// edit changes one version. After a conflict the change is applied again to the newer document, because it has the same
// meaning there.
func (c *Command) edit(ctx context.Context, name string) error {
	model, version, err := splitRef(c.args[1])
	if err != nil {
		return err
	}
	percent := 0
	if name == "rollout" {
		if percent, err = strconv.Atoi(c.args[2]); err != nil {
			return usageError{fmt.Sprintf("%q, want a whole number of percent", c.args[2])}
		}
	}
	var changes []document.Change
	note := c.note
	if note == "" {
		note = name + " " + c.args[1]
	}
	revision, err := c.writer.Edit(ctx, c.author, note, func(d *document.Document) error {
		before, err := d.Clone()
		if err != nil {
			return err
		}
		switch name {
		case "withdraw":
			err = d.Withdraw(model, version, c.promote)
		case "drain":
			err = d.Drain(model, version, c.promote)
		default:
			err = d.Rollout(model, version, percent)
		}
		changes = document.Diff(before, d)
		return err
	})
	if errors.Is(err, platform.ErrNotFound) {
		return errors.New("the platform has no document yet")
	}
	if len(faults(err)) > 0 && c.promote == "" && name != "rollout" {
		return wrap(err, "a version that takes the place can be named with -promote")
	}
	if err != nil {
		return err
	}
	c.printResult(outcome{Outcome: "applied", Revision: revision, Ours: changes}, "%s %s is in revision %d", name, c.args[1], revision)
	c.printChanges(changes)
	return nil
}

func readDocument(file string) (*document.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	d, err := document.Parse(raw)
	if err != nil {
		return nil, wrap(err, file)
	}
	return d, nil
}
