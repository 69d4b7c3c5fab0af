package document

import "fmt"

// Conflict is returned when somebody else changed the document first.
type Conflict struct {
	Base Snapshot  // what this change was made from
	Now  Snapshot  // what is in the platform
	Mine *Document // what was to be stored
	Lost bool      // a response was lost before: Mine may have been stored and replaced since
}

// Error names both revisions and the other author.
func (c *Conflict) Error() string {
	outcome := "nothing was stored"
	if c.Lost {
		outcome = "a response was lost before, so whether this change was stored in between is not known"
	}
	by := "somebody who deleted it"
	if c.Now.Document != nil {
		by = c.Now.Document.Author
	}
	return fmt.Sprintf("the document changed from revision %d to %d by %s; %s", c.Base.Revision, c.Now.Revision, by, outcome)
}

// Theirs returns what the other operators changed.
func (c *Conflict) Theirs() []Change { return Diff(c.Base.Document, c.Now.Document) }

// Ours returns what was to be changed.
func (c *Conflict) Ours() []Change { return Diff(c.Base.Document, c.Mine) }
