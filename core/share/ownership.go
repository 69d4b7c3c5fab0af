package share

import (
	"maps"
	"slices"

	"shallotrun/core/clock"
)

const (
	// presence is how long after its last message a VM counts as present: four polls.
	presence = 1200 * clock.Millisecond
	// takeover is how long a VM must have been the owner of a failure domain before it uses it. Until then the VM that was the owner
	// before has noticed that it is not any more, and every grant that came from it has expired.
	takeover = presence + polledValidity + polledValidity/4
)

// Ownership decides for which failure domains a VM at the top of a tree divides the limits of the servers, so that no two VMs divide
// the same one, also when VMs are cut off from each other. A VM owns its own domain while more than half of the domain's known VMs
// are present, and another domain while a VM of it follows this one that says the same of that domain. A domain that is in no
// tree with a majority of its VMs has no owner, and requests go to the servers of others. Set the exported fields before the
// first call.
type Ownership struct {
	VM     string
	Domain string

	seen      map[string]map[string]sighting // by domain and VM
	known     map[string][]string            // VMs by domain, as known in the whole fleet
	since     map[string]clock.Time          // by domain: since when this VM is its owner
	updatedAt clock.Time
}

// sighting is a message of a VM that follows this one.
type sighting struct {
	at       clock.Time
	majority bool // most VMs of its domain are present at it
}

// Saw records a message of a VM that follows this one. majority means that most VMs of its domain are present at it.
func (o *Ownership) Saw(now clock.Time, domain, vm string, majority bool) {
	if o.seen == nil {
		o.seen = make(map[string]map[string]sighting)
	}
	if o.seen[domain] == nil {
		o.seen[domain] = make(map[string]sighting)
	}
	o.seen[domain][vm] = sighting{now, majority}
}

// Update is called several times in each presence span. known are the VMs of each domain that have an entry in the store; top means
// that this VM follows no other. A VM that did not call Update for longer was suspended and starts anew.
func (o *Ownership) Update(now clock.Time, known map[string][]string, top bool) {
	if o.since == nil || now.Sub(o.updatedAt) > presence {
		o.since = make(map[string]clock.Time)
	}
	o.updatedAt, o.known = now, known
	for d, vms := range o.seen {
		maps.DeleteFunc(vms, func(_ string, s sighting) bool { return now.Sub(s.at) > presence })
		if len(vms) == 0 {
			delete(o.seen, d)
		}
	}
	for d := range o.domains() {
		if _, ok := o.since[d]; !top || !o.holds(d) {
			delete(o.since, d)
		} else if !ok {
			o.since[d] = now
		}
	}
}

// domains returns the failure domains with VMs, this VM's own included.
func (o *Ownership) domains() map[string]bool {
	out := map[string]bool{o.Domain: true}
	for d := range o.known {
		out[d] = true
	}
	for d := range o.since {
		out[d] = true
	}
	return out
}

// holds reports whether most VMs of a domain are in the tree below this VM.
func (o *Ownership) holds(domain string) bool {
	if domain == o.Domain {
		return o.Majority()
	}
	for _, s := range o.seen[domain] {
		if s.majority {
			return true
		}
	}
	return false
}

// Majority reports whether most of the known VMs of this VM's domain are present: more than half of them, or half with the first
// one in the order of their names.
func (o *Ownership) Majority() bool {
	vms := o.known[o.Domain]
	present := 0
	for _, vm := range vms {
		if o.present(vm) {
			present++
		}
	}
	return 2*present > len(vms) || 2*present == len(vms) && (len(vms) == 0 || o.present(slices.Min(vms)))
}

// present reports whether a VM of this VM's domain is present.
func (o *Ownership) present(vm string) bool {
	_, ok := o.seen[o.Domain][vm]
	return ok || vm == o.VM
}

// Owns reports whether this VM divides the limits of the servers in a domain. Those of a domain without VMs belong to the owner of
// the first domain in the order of their names.
func (o *Ownership) Owns(now clock.Time, domain string) bool {
	all := o.domains()
	if !all[domain] {
		domain = slices.Min(slices.Collect(maps.Keys(all)))
	}
	since, ok := o.since[domain]
	return ok && now.Sub(since) >= takeover
}
