package feed

// Position is a revision of the store. When the store comes back from an older copy, it gives revisions out again, and its era
// rises; revisions of different eras say nothing about each other.
type Position struct {
	Era uint64 // 0 if it is not known
	Rev uint64
}

// Before reports whether a position is older than another one.
func (p Position) Before(q Position) bool { return p.Era < q.Era || p.Era == q.Era && p.Rev < q.Rev }

// position returns the position up to which a batch has the objects or changes.
func (b Batch) position() Position { return Position{Era: b.Era, Rev: b.Rev} }

// Revisions holds the revision of the store up to which a VM has the changes of each kind, 0 for none.
type Revisions [kinds]uint64

// Eras holds the eras of Revisions.
type Eras [kinds]uint64

// positions returns the positions up to which this VM has the changes.
func (f *Feed) positions() (out [kinds]Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range out {
		out[k] = f.histories[k].at
	}
	return out
}
