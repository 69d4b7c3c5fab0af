package capacity

// Buckets is the number of parts of a server's load that are kept apart.
const Buckets = 3

// upperEdges are the upper ends of the buckets, as fractions of the server's slots. The last bucket has no end.
var upperEdges = [Buckets - 1]float64{0.25, 0.5}

// recent is the index of the sums over all loads that decay faster than those of the buckets, and sums the number of all sums.
const (
	recent = Buckets
	sums   = Buckets + 1
)

// unit is the scale of the sums in Evidence: hundredths.
const unit = 100

// Evidence is the sums over the answers of one incarnation of a server, decayed, in hundredths. It is encoded by position.
type Evidence struct {
	_      struct{}  `cbor:",toarray"`
	Born   int64     // start time of the incarnation, with the server's ID its identity
	Counts [sums]int // answers by the load at their start, and the recent ones at any load
	Logs   [sums]int // logarithms of their times relative to the usual ones
}

// Empty reports whether there are no answers.
func (e Evidence) Empty() bool { return e.Counts == [sums]int{} }

// Plus returns the sum of two VMs' evidence. Only that of the later incarnation counts.
func (e Evidence) Plus(o Evidence) Evidence {
	switch {
	case o.Born < e.Born:
		return e
	case o.Born > e.Born:
		return o
	}
	return e.add(o, 1)
}

// Minus returns e without o, which was added before.
func (e Evidence) Minus(o Evidence) Evidence {
	if o.Born != e.Born {
		return e
	}
	return e.add(o, -1)
}

func (e Evidence) add(o Evidence, sign int) Evidence {
	for b := range sums {
		e.Counts[b] += sign * o.Counts[b]
		e.Logs[b] += sign * o.Logs[b]
	}
	return e
}

// Valid reports whether the sums can come from answers. Evidence of another VM that is not valid must be ignored.
func (e Evidence) Valid() bool {
	for b := range sums {
		n := e.Counts[b]
		// Each sum is rounded by every VM, so half a unit for each of maxVMs may be on top.
		if n < 0 || n > maxAnswers*unit || abs(e.Logs[b]) > int(maxLog*float64(n))+maxVMs {
			return false
		}
	}
	return true
}

const (
	maxAnswers = 1_000_000 // answers in a bucket of one server
	maxVMs     = 1000
)

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
