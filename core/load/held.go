package load

// HeldTokens returns the tokens held of each of the uses, in their order, nil if all are 0. They travel beside the uses, which are encoded
// by position: a VM of an earlier build cannot decode a use with one more field.
func HeldTokens(uses []Usage) []int {
	var out []int
	for i, u := range uses {
		if u.TokensHeld != 0 && out == nil {
			out = make([]int, len(uses))
		}
		if out != nil {
			out[i] = u.TokensHeld
		}
	}
	return out
}

// SetHeldTokens sets the tokens held of each of the uses. Without one for each, as from a VM of an earlier build, it changes nothing.
func SetHeldTokens(uses []Usage, held []int) {
	if len(held) != len(uses) {
		return
	}
	for i, n := range held {
		uses[i].TokensHeld = max(n, 0)
	}
}
