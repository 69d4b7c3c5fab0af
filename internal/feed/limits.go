package feed

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/cold"
	"shallotrun/core/limit"
	"shallotrun/core/share"
)

const (
	// limitRefresh is the least time between two updates of this VM's part of the limits. An update goes through all of them.
	limitRefresh = 100 * clock.Millisecond
	// granterTimeout is the time without an answer after which this VM takes its part from another VM than before.
	granterTimeout = 1200 * clock.Millisecond
)

// Limits keeps the requests of all VMs to a backend server within the limit that it names, or that the configuration has for a cold
// one; if both do, within the lower one. It keeps them from a server that leaves. Each VM tells the VM that it follows what servers say
// and how many requests it has for them, and is granted a part; a VM that follows no other divides the limits. All methods are safe for
// concurrent use; times are those of Clock.Boot. The exported fields are set before Init, which is called before any other method.
type Limits struct {
	VM     string // name of this VM
	Domain string // its failure domain
	// Servers returns the servers of a service that may get new requests; nil means that no requests are sent.
	Servers func(service string) []backend.Server
	// Members returns the VMs that have an entry in the store; nil means none.
	Members func() []Member
	// ColdRates returns the requests a second that a cold server takes from all VMs together, by service; nil means that no service
	// has such a limit.
	ColdRates func() map[string]float64
	Log       zerolog.Logger

	outdated atomic.Bool // the servers changed since the last refresh

	mu          sync.Mutex
	name        string // of this VM with its incarnation
	table       limit.Table
	owner       share.Ownership
	pools       map[string]*share.Branch // by service
	domains     map[string]string        // failure domain by server with a limit
	cold        cold.Tracker
	coldLimits  map[string]map[string]cold.Limit // of the cold servers, by service and server
	coldRates   map[string]float64               // as of the last refresh
	granter     string                           // VM that grants this VM its part, "" for none
	answeredAt  clock.Time                       // when it last answered
	refreshedAt clock.Time
}

// LimitQuery tells the VM that this one follows what servers say, and asks for a part of the limits.
type LimitQuery struct {
	Limits   limit.Message
	Majority bool                    // most VMs of this VM's failure domain are present at it
	Wants    map[string]share.Report // by service; nil if this VM's part comes from another VM
}

// LimitReply is the answer to a LimitQuery.
type LimitReply struct {
	Limits limit.Message
	Grants map[string]share.Grant // by service
}

// Init sets the number that identifies the incarnation of this VM.
func (l *Limits) Init(id uint64) {
	id = max(id, 1)
	l.name = l.VM + "#" + strconv.FormatUint(id, 36)
	l.table.Init(id)
	l.table.OnLeaving = func(s limit.Server) {
		l.Log.Info().Str("server", s.ID).Int64("born", s.Born).Str("service", s.Service).Msg("limits: another VM says that a server leaves")
	}
	l.cold.OnChange = func(v backend.Server, isCold bool, rate float64) {
		l.Log.Info().Str("server", v.ID).Int64("born", v.Born).Str("service", v.Service).Bool("cold", isCold).Int64("left_ms", int64(v.Cold)).
			Float64("rate", rate).Msg("limits: a server becomes cold or warm")
	}
	l.owner = share.Ownership{VM: l.VM, Domain: l.Domain}
	l.pools = make(map[string]*share.Branch)
}

// RecordLimit records what an answer says to all VMs about its server, and reports whether that is new: an answer that came now to a
// request that was sent at a time.
func (l *Limits) RecordLimit(now, sent clock.Time, v backend.Server, n limit.Notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, changed := l.table.Record(now, sent, serverKey(v), n)
	if !changed {
		return false
	}
	l.refreshedAt = 0
	if n.Kind == limit.Leaving {
		return true // the gateway logs it with the request
	}
	l.Log.Info().Str("server", v.ID).Str("service", v.Service).Bool("named", n.Kind == limit.Named).Float64("rate", n.Rate).
		Float64("before", before.Rate).Msg("limits: an answer changes the limit of its server")
	return true
}

// WithoutLeaving returns the servers that have not said, to this VM or another one, that they leave.
func (l *Limits) WithoutLeaving(all []backend.Server) []backend.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	leaves := func(v backend.Server) bool { return l.table.Leaving(serverKey(v)) }
	if !slices.ContainsFunc(all, leaves) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), leaves)
}

// serverKey identifies the incarnation of a server.
func serverKey(v backend.Server) limit.Server {
	return limit.Server{Service: v.Service, ID: v.ID, Born: v.Born}
}

// Limited returns the number of servers of each service that name a limit.
func (l *Limits) Limited(now clock.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int)
	for s := range l.table.Limits(now) {
		out[s.Service]++
	}
	return out
}

// Cold returns the number of cold servers of each service that has a limit for them.
func (l *Limits) Cold(now clock.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	out := make(map[string]int, len(l.coldLimits))
	for service, in := range l.coldLimits {
		out[service] = len(in)
	}
	return out
}

// ServersChanged says that Servers may return others, or others that are cold, than before. It waits for no lock.
func (l *Limits) ServersChanged() { l.outdated.Store(true) }

// FreeSlots returns the servers of a service that have a limit, and for each whether this VM may send it a request now. It is nil if
// there are none.
func (l *Limits) FreeSlots(now clock.Time, service string) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	b := l.pools[service]
	if b == nil {
		return nil
	}
	out := make(map[string]bool)
	for s := range b.Servers() {
		out[s] = b.Free(now, s)
	}
	return out
}

// MayTake reports whether it is the turn of a workspace, if all servers of a service have limits.
func (l *Limits) MayTake(now clock.Time, service, workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.pools[service]
	return b == nil || b.MayTake(now, workspace)
}

// TakeSlot records that a request is sent to a server now. It returns false if the server has a limit and this VM may not send it
// one.
func (l *Limits) TakeSlot(now clock.Time, v backend.Server, workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	if _, ok := l.coldLimits[v.Service][v.ID]; v.Cold > 0 && !ok && l.coldRates[v.Service] > 0 {
		l.refreshedAt = 0 // it became cold just now
		l.refresh(now)
	}
	b := l.pools[v.Service]
	if b == nil {
		return true
	}
	if _, ok := b.Servers()[v.ID]; !ok {
		return true
	}
	if !b.Free(now, v.ID) {
		return false
	}
	b.Start(now, v.ID, workspace)
	return true
}

// Refuse records that a request of a workspace is refused because of limits. It returns the time after which this VM expects to serve
// it.
func (l *Limits) Refuse(now clock.Time, service, workspace string) clock.Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.pools[service]
	if b == nil {
		return 0
	}
	retry := b.Refuse(now, workspace)
	for _, c := range l.coldLimits[service] {
		retry = min(retry, max(c.Left, limitRefresh)) // a warm server takes it
	}
	return retry
}

// Query returns the message to another VM. A VM asks only one other for its part, as a part that two VMs grant would be taken twice:
// the same one for as long as it answers.
func (l *Limits) Query(now clock.Time, to string) LimitQuery {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshedAt = 0
	l.refresh(now)
	q := LimitQuery{Limits: l.table.Query(now), Majority: l.owner.Majority()}
	if to != l.granter {
		if !l.top(now) {
			return q
		}
		l.granter = to
	}
	q.Wants = make(map[string]share.Report, len(l.pools))
	for service, b := range l.pools {
		q.Wants[service] = b.Report(now)
	}
	return q
}

// Reply records the message of a VM that follows this one and returns the answer.
func (l *Limits) Reply(now clock.Time, from Member, q LimitQuery) LimitReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner.Saw(now, from.Domain, from.Name, q.Majority)
	r := LimitReply{Limits: l.table.Reply(now, q.Limits)}
	l.refresh(now)
	for service, report := range q.Wants {
		b := l.pools[service]
		if b == nil {
			continue
		}
		if g, ok := b.Answer(now, report); ok {
			if r.Grants == nil {
				r.Grants = make(map[string]share.Grant)
			}
			r.Grants[service] = g
		}
	}
	return r
}

// Accept applies the answer of another VM.
func (l *Limits) Accept(now clock.Time, from string, r LimitReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Accept(now, r.Limits)
	if from != l.granter {
		return
	}
	l.answeredAt = now
	for service, g := range r.Grants {
		if b := l.pools[service]; b != nil {
			b.Accept(now, g)
		}
	}
	l.refreshedAt = 0
	l.refresh(now)
}

// Refresh brings this VM's part of the limits up to date. It is called several times a second, also without requests: a VM that does
// not is taken for one that was suspended.
func (l *Limits) Refresh(now clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
}

// top reports whether no other VM has granted this one its part lately.
func (l *Limits) top(now clock.Time) bool {
	return l.granter == "" || now.Sub(l.answeredAt) > granterTimeout
}

// refresh brings this VM's part of the limits up to date, if that was not done just now.
func (l *Limits) refresh(now clock.Time) {
	if !l.outdated.Swap(false) && now.Sub(l.refreshedAt) < limitRefresh {
		return
	}
	l.refreshedAt = now
	top := l.top(now)
	l.owner.Update(now, l.knownVMs(), top)
	rates := l.rates(now)
	for service := range l.pools {
		if rates[service] == nil {
			delete(l.pools, service)
		}
	}
	var owns func(string) bool
	if top {
		owns = func(server string) bool { return l.owner.Owns(now, l.domains[server]) }
	}
	for service, in := range rates {
		owns, limits := owns, l.coldLimits[service]
		if owns != nil && len(limits) > 0 {
			ownsAny := owns
			owns = func(server string) bool { return !limits[server].Withheld && ownsAny(server) }
		}
		b := l.pools[service]
		if b == nil {
			b = &share.Branch{}
			b.Init(l.name)
			l.pools[service] = b
		}
		b.Extra = make(map[string]int, len(limits))
		for server, c := range limits {
			if c.Rate <= in[server] { // no lower limit counts that the server names
				b.Extra[server] = c.Extra
			}
		}
		b.Update(now, in, owns)
	}
}

// knownVMs returns the VMs with an entry by failure domain.
func (l *Limits) knownVMs() map[string][]string {
	if l.Members == nil {
		return nil
	}
	out := make(map[string][]string)
	for _, m := range l.Members() {
		out[m.Domain] = append(out[m.Domain], m.Name)
	}
	return out
}

// rates returns the limits of the present servers by service and server, those that they name and those of cold ones, and sets the
// domains of these servers.
func (l *Limits) rates(now clock.Time) map[string]map[string]float64 {
	limits := l.table.Limits(now)
	l.domains = make(map[string]string, len(limits))
	l.updateCold(now)
	if len(limits) == 0 && len(l.coldLimits) == 0 || l.Servers == nil {
		return nil
	}
	services := make(map[string]bool)
	for s := range limits {
		services[s.Service] = true
	}
	for service := range l.coldLimits {
		services[service] = true
	}
	out := make(map[string]map[string]float64)
	for service := range services {
		for _, v := range l.Servers(service) {
			rate, named := limits[serverKey(v)]
			if c, ok := l.coldLimits[service][v.ID]; ok && (!named || c.Rate < rate) {
				rate, named = c.Rate, true
			}
			if !named {
				continue
			}
			if out[service] == nil {
				out[service] = make(map[string]float64)
			}
			out[service][v.ID], l.domains[v.ID] = rate, v.Domain
		}
	}
	return out
}

// updateCold updates the limits of the cold servers.
func (l *Limits) updateCold(now clock.Time) {
	l.coldRates, l.coldLimits = nil, nil
	if l.ColdRates == nil || l.Servers == nil {
		return
	}
	if l.coldRates = l.ColdRates(); len(l.coldRates) > 0 {
		l.coldLimits = l.cold.Update(now, l.coldRates, l.Servers)
	}
}
