package document

import "fmt"

// Conflict is the error of a conditional update when another operator changed the document first.
type Conflict struct {
	Base         Snapshot  // the document that this change is based on
	Current      Snapshot  // the document in the platform's store
	Mine         *Document // the document that was to be stored
	ResponseLost bool      // an earlier response was lost: Mine may have been stored and replaced since
}

// Error returns both revisions, the other author and whether the change may have been stored.
func (c *Conflict) Error() string {
	outcome := "nothing was stored"
	if c.ResponseLost {
		outcome = "a response was lost before, so whether this change was stored in between is not known"
	}
	by := "somebody who deleted it"
	if c.Current.Document != nil {
		by = c.Current.Document.Author
	}
	return fmt.Sprintf("the document changed from revision %d to %d by %s; %s", c.Base.Revision, c.Current.Revision, by, outcome)
}

// Theirs returns the changes of the other operators.
func (c *Conflict) Theirs() []Change { return Diff(c.Base.Document, c.Current.Document) }

// Ours returns the changes that were to be stored.
func (c *Conflict) Ours() []Change { return Diff(c.Base.Document, c.Mine) }
