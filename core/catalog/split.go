package catalog

// Choose selects a service of the route by the weights of its splits, for a random number in [0, 1). It returns false if no
// weight is above 0.
func (r *Route) Choose(random float64) (string, bool) {
	total := 0
	for _, s := range r.Splits {
		total += max(s.Weight, 0)
	}
	rest := random * float64(total)
	for _, s := range r.Splits {
		if rest -= float64(max(s.Weight, 0)); rest < 0 {
			return s.Service, true
		}
	}
	return "", false
}
