package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/core/bill"
	"shallotrun/core/claim"
	"shallotrun/core/clock"
	"shallotrun/core/member"
	"shallotrun/core/relay"
	"shallotrun/internal/config"
	"shallotrun/internal/servers"
	"shallotrun/io/conn"
	"shallotrun/io/peer"
	"shallotrun/io/platform"
)

const (
	tickInterval      = 100 * time.Millisecond
	stopTimeout       = 20 * time.Second // for bills and replicas at a planned stop
	flushStoreTimeout = 8 * time.Second  // part of it for the store alone, before replicas suffice
	// defaultKeyLifetime is the lifetime of an idempotency key.
	defaultKeyLifetime = 10 * clock.Minute
	maxPendingBills    = 50000
	maxBatchBills      = 500
)

// Objects is the platform's store as the fleet uses it. Update is conditional on the version.
type Objects interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (uint64, error)
	Update(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error)
}

// Fleet is this VM's part in the fleet of entry VMs. The exported fields are set before Start.
type Fleet struct {
	Name        string
	Domain      string
	Addr        string // IP:port to listen on
	Announce    string // IP:port that the peers connect to, "" means Addr
	Source      string // local IP address of outgoing connections, "" for any
	Seeds       []string
	Keys        [][]byte   // the fleet's key, then the previous one while it is still accepted
	Heartbeat   clock.Span // interval of heartbeats, 0 means 1 s
	Window      clock.Span // lifetime of an idempotency key, 0 means 10 min
	MaxBatchAge clock.Span // age at which a batch of bills is sealed, 0 means 1 s to 10 s by the size of the fleet
	Clock       clock.Clock
	Log         zerolog.Logger
	Registry    prometheus.Registerer // may be nil
	Store       *config.Store
	Servers     *servers.Registry
	Objects     Objects
	EnableWatch func(on bool) // starts or stops this VM's watch of the platform's store

	inc       uint64
	transport *peer.Transport
	server    *fasthttp.Server
	listener  net.Listener
	stopped   chan struct{}
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu              sync.Mutex // guards members and the fields up to the next lock
	members         member.Fleet
	vmListChanged   bool // the VM list changed since the last tick
	fetchLimiter    relay.FetchLimiter
	relayedRevision uint64                // latest revision that was sent to the children
	haltsSent       map[string]clock.Time // last time that the halts were sent after a heartbeat with another digest, by VM
	temporary       map[string]clock.Time // last use of connections opened for a single request, by VM

	bills  bills
	claims claims
	pool   pool
}

// Start listens and joins the fleet. The VM takes part until Stop.
func (f *Fleet) Start() error {
	ln, err := net.Listen("tcp", f.Addr)
	if err != nil {
		return oops.Wrapf(err, "peer: listen on %s", f.Addr)
	}
	f.defaults()
	f.listener, f.stopped = ln, make(chan struct{})
	ctx, end := context.WithCancel(context.Background())
	f.cancel = end
	f.transport = &peer.Transport{
		Name: f.Name, Source: f.Source, Incarnation: f.inc, Keys: f.Keys, HeartbeatInterval: f.Heartbeat, Handler: f, Log: f.Log,
	}
	f.transport.Run(ctx)
	f.server = &fasthttp.Server{
		Handler: f.serve, ReadTimeout: 5 * time.Second, MaxRequestBodySize: 1024, NoDefaultServerHeader: true,
	}
	f.wg.Go(func() {
		if err := f.server.Serve(&conn.Listener{Listener: ln, Name: "peers", Log: f.Log}); err != nil && ctx.Err() == nil {
			f.Log.Error().Err(err).Msg("peer: listener failed")
		}
	})
	for _, s := range f.Seeds {
		if s != f.Announce {
			f.transport.ConnectSeed(s)
		}
	}
	f.Servers.Subscribe(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.vmListChanged = true
	})
	f.Store.OnPause(f.confirmRevision)
	f.wg.Go(func() { f.loop(ctx) })
	return nil
}

// Leave tells the peers that this VM takes no new requests. Requests in flight continue.
func (f *Fleet) Leave() {
	f.mu.Lock()
	cs := f.members.Declare(f.Clock.Now(), member.Leaving)
	f.mu.Unlock()
	f.execute(cs)
}

// Stop flushes the bills of this VM to the platform's store or to another VM, tells the peers that it leaves, and closes the
// listener and the connections.
func (f *Fleet) Stop() {
	f.Leave()
	f.flushBills(stopTimeout)
	f.broadcast(peer.KindLeave, nil)
	time.Sleep(tickInterval) // time to send the queued messages
	f.cancel()
	_ = f.listener.Close()
	f.transport.Wait()
	f.wg.Wait()
}

// Members returns the other VMs of a domain as this VM sees them.
func (f *Fleet) Members(domain string) []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Members(f.Clock.Now(), domain)
}

// Traffic returns the counters of frames and bytes of the connections to peers.
func (f *Fleet) Traffic() peer.Traffic { return f.transport.Traffic() }

func (f *Fleet) defaults() {
	if f.Heartbeat == 0 {
		f.Heartbeat = clock.Second
	}
	if f.Window == 0 {
		f.Window = defaultKeyLifetime
	}
	if f.Announce == "" {
		f.Announce = f.Addr
	}
	f.inc = uint64(f.Clock.Wall())
	f.members = member.Fleet{
		Self: member.Record{Name: f.Name, Peer: f.Announce, Domain: f.Domain, Inc: f.inc}, Heartbeat: f.Heartbeat, FarHeartbeat: 3 * f.Heartbeat,
	}
	f.vmListChanged, f.haltsSent, f.temporary = true, map[string]clock.Time{}, map[string]clock.Time{}
	f.bills.start(f)
	f.claims = claims{
		replica: claim.Replica{Self: f.Name, Inc: f.inc, Window: f.Window},
		rosters: map[string]claim.Roster{}, confirmed: map[string]confirmation{},
	}
	f.pool.counters = relay.Counters{Self: f.source(), Domain: f.Domain}
	if f.Registry != nil {
		f.Registry.MustRegister(f.bills.uncopied, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "shallot_bills_waiting", Help: "Bills and copies in memory that are not known to be in the platform.",
		}, func() float64 {
			f.bills.mu.Lock()
			defer f.bills.mu.Unlock()
			return float64(f.bills.recorder.Pending())
		}))
	}
}

func (f *Fleet) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != peer.Path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	f.transport.Serve(ctx)
}

func (f *Fleet) loop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		f.tickMembers()
		f.relayDocument()
		if n%2 == 0 {
			f.bills.tick()
		}
		f.tickTables(ctx)
		if n%5 == 0 {
			f.tickPool(n%100 == 0)
		}
		if n%10 == 0 {
			f.tickClaims(ctx)
		}
	}
}

// Connected sends a heartbeat with this VM's record on a new connection.
func (f *Fleet) Connected(name string, _ uint64) {
	f.mu.Lock()
	cs := f.members.Step(f.Clock.Now(), member.ConnectionOpened{Name: name})
	f.mu.Unlock()
	f.execute(append(cs, member.SendHeartbeat{To: name, Heartbeat: f.heartbeat()}))
}

// Handle processes a message of a peer. It returns the kind and body of the reply, "" for none.
func (f *Fleet) Handle(e *peer.Envelope) (string, any, error) {
	from := bill.Holder{Name: e.From, Inc: e.Incarnation}
	switch e.Kind {
	case peer.KindHeartbeat:
		return decode(e, func(b member.Heartbeat) (string, any) { f.handleHeartbeat(e.From, e.Incarnation, b); return "", nil })
	case peer.KindView:
		return decode(e, func(v member.View) (string, any) { f.step(member.ViewReceived{Name: e.From, View: v}); return "", nil })
	case peer.KindLeave:
		f.step(member.LeaveReceived{Name: e.From, Inc: e.Incarnation})
		return "", nil, nil
	case peer.KindDocumentRequest:
		return decode(e, func(w documentRequest) (string, any) { return peer.KindDocument, f.documentFor(w) })
	case peer.KindDocument:
		return decode(e, func(d documentReply) (string, any) { f.receiveDocument(e.From, d); return "", nil })
	case peer.KindHalts:
		return decode(e, func(h []config.Halt) (string, any) { f.mergeHalts(h); return "", nil })
	case peer.KindCounters:
		return decode(e, func(r []relay.Counter) (string, any) { f.mergeCounters(e.From, r); return "", nil })
	case peer.KindServerMarks:
		return decode(e, func(m []servers.Mark) (string, any) { f.Servers.SetPeerMarks(e.From, m); return "", nil })
	case peer.KindCopy:
		return decode(e, func(c bill.Copy) (string, any) { return peer.KindCopied, f.bills.handleCopy(from, c) })
	case peer.KindTakeover:
		return decode(e, func(t bill.Take) (string, any) { return peer.KindTakeoverReply, f.bills.handleTake(t) })
	case peer.KindStored:
		return decode(e, func(s bill.Stored) (string, any) { return peer.KindCopied, f.bills.handleStored(from, s) })
	case peer.KindVoteRequest:
		return decode(e, func(a claim.VoteRequest) (string, any) { return peer.KindVote, f.vote(a) })
	case peer.KindPull:
		return decode(e, func(p claim.Pull) (string, any) { return peer.KindTable, f.servePull(e.From, e.Incarnation, p) })
	case peer.KindRoster:
		return decode(e, func(r claim.Roster) (string, any) { return peer.KindRoster, f.adoptRoster(r) })
	}
	return "", nil, nil // a kind of a later version, or one that is handled elsewhere
}

func decode[T any](e *peer.Envelope, f func(T) (string, any)) (string, any, error) {
	var v T
	if err := e.Decode(&v); err != nil {
		return "", nil, err
	}
	kind, body := f(v)
	return kind, body, nil
}
