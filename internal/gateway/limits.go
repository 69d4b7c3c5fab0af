package gateway

import (
	"errors"
	"slices"

	"shallotrun/core/backend"
)

// Reasons why pick selects no server.
var (
	errNoServer = errors.New("no backend server can take the request")
	errLimited  = errors.New("the limits on requests to the backend servers are used up")
)

// hasRoom reports whether the limits of the servers and the evacuations leave one for another attempt of a request.
func (p *pool) hasRoom(x *exchange) bool {
	usable, reserve, none := p.g.usable(p.g.State.Servers(p.g.Clock.Now(), p.service))
	if none != nil && none.evacuated {
		return false // the attempt that runs may still end well
	}
	in, limited := p.withinLimits(x, slices.Concat(usable, reserve))
	return len(in) > 0 || !limited
}

// withinLimits returns the servers that their limits, named or as they are cold, allow this VM to send the request to, and reports
// whether others were left out. If all servers have limits, the workspaces take turns.
func (p *pool) withinLimits(x *exchange, all []backend.Server) (out []backend.Server, limited bool) {
	slots := p.g.State.FreeSlots(p.service)
	if len(slots) == 0 {
		return all, false
	}
	unlimited := 0
	for _, v := range all {
		free, named := slots[v.ID]
		if !named {
			unlimited++
		}
		if free || !named {
			out = append(out, v)
		}
	}
	if unlimited == 0 && !p.g.State.MayTake(p.service, x.workspaceName()) {
		return nil, true
	}
	return out, len(out) < len(all)
}
