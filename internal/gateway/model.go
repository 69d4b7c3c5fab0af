package gateway

// chooseModel names the model on a route that leaves the choice to the router.
func (x *exchange) chooseModel() {
	if n := len(x.route.Models); n > 0 {
		x.model = x.route.Models[n-1]
	}
}
