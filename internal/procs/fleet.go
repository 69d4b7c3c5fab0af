package procs

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Domains are the failure domains of the runners.
var Domains = []string{"mobile-a", "biloxi-b", "pensacola-c"}

// Fleet is a set of processes. The exported fields are set before Start.
type Fleet struct {
	Bin         string // directory of the programs
	Net         string // first two numbers of all addresses, for example 127.0
	Dir         string // directory for settings and logs
	Seed        uint64
	Entries     int      // entry VMs in each failure domain
	Engines     int      // engines in each failure domain; the first half serves small, the others large
	Services    int      // plain services in each failure domain
	UseRelay    bool     // put the relay between entry VMs and their peers, the backend servers and the platform
	DomainNames []string // names of the failure domains, Domains if empty

	HeartbeatInterval int // milliseconds between heartbeats, 0 means 250

	Env []string // variables added to the environment of all processes, as NAME=VALUE

	// Flags added to those of the stand-ins.
	EngineFlags, PlatformFlags []string

	VMs      []*VM // entry VMs
	Backends []*Backend
	Platform *Proc
	Rating   *Proc
	Relay    *Proc

	mu    sync.Mutex
	procs []*Proc
	keys  [2]string
}

// VM is an entry VM.
type VM struct {
	Name, Domain           string
	IP                     string
	Callers, Peers, Status string // addresses as others dial them
	Proc                   *Proc

	listen string // address of the peers' port behind the relay
	file   string // settings file
}

// Backend is an engine or a plain service.
type Backend struct {
	Name, Domain, Kind, Pool string
	Addr, Control            string
	Models                   []string
	Proc                     *Proc

	listen string
}

// Ports.
const (
	callerPort      = 8080
	peerPort        = 8081
	statusPort      = 8082
	backendPort     = 9000
	controlPort     = 9001
	platformPort    = 7000
	relayPortOffset = 10000 // added to the listening port of a process behind the relay
)

// Start starts the stand-ins, waits until their control ports answer and registers all VMs in the platform's VM list. It starts no
// entry daemons.
func (f *Fleet) Start() error {
	for i := range f.keys {
		var b [32]byte
		if _, err := rand.Read(b[:]); err != nil {
			return err
		}
		f.keys[i] = hex.EncodeToString(b[:])
	}
	f.assignAddresses()
	if err := f.startStandIns(); err != nil {
		return err
	}
	return f.registerVMs()
}

// StartVMs starts all entry daemons. They become ready once a document has been applied.
func (f *Fleet) StartVMs() error {
	for _, v := range f.VMs {
		if err := f.StartVM(v); err != nil {
			return err
		}
	}
	return nil
}

// StartVM writes the settings of an entry daemon and starts it. It may be called again after the daemon has ended.
func (f *Fleet) StartVM(v *VM) error {
	v.file = filepath.Join(f.Dir, v.Name+".ini")
	if err := os.WriteFile(v.file, []byte(f.settings(v)), 0o600); err != nil {
		return err
	}
	p, err := f.run(v.Name, "shallotd", "-settings", v.file)
	v.Proc = p
	return err
}

// Ready waits up to d until all given entry VMs report that they are ready.
func (f *Fleet) Ready(d time.Duration, vms ...*VM) error {
	end := time.Now().Add(d)
	for _, v := range vms {
		if err := waitFor(time.Until(end), func() error { return Get(v.Status, "/readyz", nil) }); err != nil {
			return oops.Wrapf(err, "%s is not ready; end of %s:\n%s", v.Name, v.Proc.Log, Tail(v.Proc.Log))
		}
	}
	return nil
}

// Ctl runs the operator command (shallotctl) against the platform and returns its output and error output.
func (f *Fleet) Ctl(command string, args ...string) (string, error) {
	all := append([]string{"-platform", f.platformAddr(), "-author", "runner", command}, args...)
	out, err := exec.Command(filepath.Join(f.Bin, "shallotctl"), all...).CombinedOutput()
	return string(out), oops.Wrapf(err, "shallotctl %s: %s", strings.Join(all, " "), out)
}

// PlatformControl returns the address of the control port of the platform.
func (f *Fleet) PlatformControl() string { return fmt.Sprintf("%s.0.10:%d", f.Net, platformPort+1) }

// RatingControl returns the address of the control port of the rating service.
func (f *Fleet) RatingControl() string { return fmt.Sprintf("%s.0.11:%d", f.Net, platformPort+1) }

// RelayControl returns the address of the control port of the relay.
func (f *Fleet) RelayControl() string { return fmt.Sprintf("%s.0.12:%d", f.Net, platformPort+1) }

// Callers returns the callers' addresses of all entry VMs.
func (f *Fleet) Callers() []string {
	var all []string
	for _, v := range f.VMs {
		all = append(all, v.Callers)
	}
	return all
}

// Stop ends all processes at once. A process that has not ended 1 s after SIGTERM is killed.
func (f *Fleet) Stop() {
	f.mu.Lock()
	procs := f.procs
	f.procs = nil
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range procs {
		wg.Go(func() { p.stop(time.Second) })
	}
	wg.Wait()
}

// StopVMs stops all entry daemons gracefully and returns the names of those that did not exit with code 0 within d. Daemons that had
// ended before are skipped.
func (f *Fleet) StopVMs(d time.Duration) []string {
	var bad []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, v := range f.VMs {
		if _, ended := v.Proc.Exited(0); ended {
			continue
		}
		wg.Go(func() {
			v.Proc.Signal(syscall.SIGTERM)
			if code, ok := v.Proc.Exited(d); !ok || code != 0 {
				mu.Lock()
				bad = append(bad, v.Name)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return bad
}

// Tail returns the last 2000 bytes of a file, or the text of the error if it cannot be read.
func Tail(file string) string {
	b, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-2000):])
}

// assignAddresses creates the entry VMs and backend servers with their names and addresses.
func (f *Fleet) assignAddresses() {
	offset := 0
	if f.UseRelay {
		offset = relayPortOffset
	}
	for d, domain := range f.domains() {
		for i := range f.Entries {
			ip := fmt.Sprintf("%s.%d.%d", f.Net, d+1, i+1)
			f.VMs = append(f.VMs, &VM{
				Name: fmt.Sprintf("%s-%d", domain, i+1), Domain: domain, IP: ip, Callers: hostPort(ip, callerPort),
				Peers: hostPort(ip, peerPort), Status: hostPort(ip, statusPort), listen: hostPort(ip, peerPort+offset),
			})
		}
		for i := range f.Engines {
			model := "small"
			if i >= (f.Engines+1)/2 {
				model = "large"
			}
			f.addBackend(d, 101+i, work.KindEngine, model, fmt.Sprintf("engine-%d", d*f.Engines+i+1), offset)
		}
		for i := range f.Services {
			f.addBackend(d, 201+i, work.KindService, "desk", fmt.Sprintf("desk-%d", d*f.Services+i+1), offset)
		}
	}
}

func (f *Fleet) domains() []string {
	if len(f.DomainNames) > 0 {
		return f.DomainNames
	}
	return Domains
}

func (f *Fleet) addBackend(domain, last int, kind, pool, name string, offset int) {
	ip := fmt.Sprintf("%s.%d.%d", f.Net, domain+1, last)
	b := &Backend{
		Name: name, Domain: f.domains()[domain], Kind: kind, Pool: pool,
		Addr: hostPort(ip, backendPort), Control: hostPort(ip, controlPort), listen: hostPort(ip, backendPort+offset),
	}
	if kind == work.KindEngine {
		b.Models = []string{pool + "@1", pool + "@2"}
	}
	f.Backends = append(f.Backends, b)
}

// startStandIns starts the stand-ins and waits until their control ports answer.
func (f *Fleet) startStandIns() error {
	var err error
	var controls []string
	add := func(mode, name, addr, control string, flags ...string) *Proc {
		if err != nil {
			return nil
		}
		args := append([]string{"-mode", mode, "-name", name, "-control", control, "-seed", fmt.Sprint(f.Seed)}, flags...)
		if addr != "" {
			args = append(args, "-addr", addr)
		}
		var p *Proc
		p, err = f.run(name, "standin", args...)
		controls = append(controls, control)
		return p
	}
	f.Platform = add("platform", "platform", f.platformListen(), f.PlatformControl(), f.PlatformFlags...)
	f.Rating = add("rating", "rating", hostPort(f.Net+".0.11", platformPort), f.RatingControl(), "-quality", "small=70,large=95")
	for i, b := range f.Backends {
		switch b.Kind {
		case work.KindEngine:
			flags := append([]string{"-models", strings.Join(b.Models, ",")}, f.EngineFlags...)
			b.Proc = add("engine", b.Name, b.listen, b.Control, flags...)
		case work.KindService:
			b.Proc = add("service", b.Name, b.listen, b.Control, "-base", fmt.Sprint(1_000_000*(i+1)))
		}
	}
	if f.UseRelay {
		f.Relay = add("link", "link", "", f.RelayControl(), "-paths", f.relayPaths(), "-sources", f.relaySources())
	}
	if err != nil {
		return err
	}
	for _, c := range controls {
		if err := waitFor(5*time.Second, func() error { return Get(c, "/faults", nil) }); err != nil {
			return err
		}
	}
	return nil
}

// registerVMs adds all entry VMs and backend servers to the platform's VM list.
func (f *Fleet) registerVMs() error {
	now := clock.Clock{}.Wall()
	for _, v := range f.VMs {
		row := work.VM{Name: v.Name, Addr: v.Callers, Peer: v.Peers, Domain: v.Domain, Kind: work.KindEntry, State: work.StateLive, Since: now}
		if err := Post(f.PlatformControl(), "/vms", row); err != nil {
			return err
		}
	}
	for _, b := range f.Backends {
		row := work.VM{Name: b.Name, Addr: b.Addr, Domain: b.Domain, Kind: b.Kind, Pool: b.Pool, State: work.StateLive, Since: now}
		if err := Post(f.PlatformControl(), "/vms", row); err != nil {
			return err
		}
	}
	return nil
}

// MarkLeaving marks a backend server as leaving in the platform's VM list.
func (f *Fleet) MarkLeaving(b *Backend) error {
	return Post(f.PlatformControl(), "/vms", work.VM{
		Name: b.Name, Addr: b.Addr, Domain: b.Domain, Kind: b.Kind, Pool: b.Pool,
		State: work.StateLeaving, Since: clock.Clock{}.Wall(),
	})
}

func (f *Fleet) run(name, program string, args ...string) (*Proc, error) {
	p, err := start(f.Dir, name, filepath.Join(f.Bin, program), f.Env, args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs = append(f.procs, p)
	return p, nil
}

func (f *Fleet) platformAddr() string { return hostPort(f.Net+".0.10", platformPort) }

func (f *Fleet) platformListen() string {
	if f.UseRelay {
		return hostPort(f.Net+".0.10", platformPort+relayPortOffset)
	}
	return f.platformAddr()
}

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
