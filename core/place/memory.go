package place

import "slices"

// withRoom returns the candidates whose prompt memory has room for the request. A server without room lets it wait, or preempts another
// one and prefills its prompt again later. If none has room, it returns those with at least the mean room, rather than the only one with
// most: all VMs see the same lagging reports and would send everything to it.
func withRoom(in []Candidate, need int) []Candidate {
	if need <= 0 {
		return in
	}
	sum, known := 0, 0
	for _, c := range in {
		if c.Memory > 0 {
			sum, known = sum+c.Room(), known+1
		}
	}
	if known == 0 {
		return in
	}
	fits := func(c Candidate) bool { return c.Memory <= 0 || c.Room() >= need }
	if slices.ContainsFunc(in, fits) {
		return prefer(in, 0, fits)
	}
	return prefer(in, 0, func(c Candidate) bool { return c.Room()*known >= sum })
}

// Room returns the tokens for which a server's memory has room.
func (c Candidate) Room() int { return c.Memory - c.TokensHeld }
