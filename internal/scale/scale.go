package scale

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotrun/core/document"
	"shallotrun/internal/procs"
)

// Goals for one VM at the stated size.
const (
	goalCPU     = 1.4  // percent of a core
	goalMemory  = 32.0 // MB
	goalNetwork = 18.0 // KB/s
	goalInForce = 8.0  // seconds
	goalReads   = 2000 // platform calls per second, all VMs
)

// cores is the size of an entry VM. With all cores of the machine the Go scheduler of an idle process spends time on
// looking for work at each of them.
const cores = 2

// changes is the number of configuration changes whose spread is measured, one every changeEvery.
const (
	changes     = 8
	changeEvery = 700 * time.Millisecond
)

// Scale is one series of fleets. The exported fields are set before Run.
type Scale struct {
	Out    io.Writer
	Bin    string // directory of the programs
	Dir    string // for settings and logs
	Net    string // first two numbers of the loopback addresses
	Sizes  []int  // entry VMs; multiples of the number of domains are reached by rounding down
	Warmup time.Duration
	Window time.Duration // of one measurement
}

// row is what one size gave.
type row struct {
	VMs     int
	CPU     float64 // percent of a core for one VM
	Memory  float64 // MB for one VM, the largest
	Network float64 // KB/s for one VM, both directions
	Calls   float64 // platform calls per second of all VMs
	InForce float64 // seconds, the slowest VM and change
	Typical float64 // seconds, 99th percentile over VMs and changes
}

// Run measures every size and prints a line for each, the slopes and the last line. It reports whether the
// largest size kept the goals.
func (s *Scale) Run() (bool, error) {
	var rows []row
	for _, n := range s.Sizes {
		r, err := s.measure(n)
		if err != nil {
			return false, err
		}
		rows = append(rows, r)
		fmt.Fprintf(s.Out, "size: vms=%d cpu=%.2f%% memory=%.1fMB network=%.1fKB/s calls=%.1f/s inforce=%.2fs p99=%.2fs\n",
			r.VMs, r.CPU, r.Memory, r.Network, r.Calls, r.InForce, r.Typical)
	}
	first, last := rows[0], rows[len(rows)-1]
	if d := float64(last.VMs - first.VMs); d > 0 {
		fmt.Fprintf(s.Out, "slope: per 100 vms cpu=%+.3f%% memory=%+.2fMB network=%+.2fKB/s calls=%+.2f/s\n",
			100*(last.CPU-first.CPU)/d, 100*(last.Memory-first.Memory)/d, 100*(last.Network-first.Network)/d,
			100*(last.Calls-first.Calls)/d)
	}
	ok := last.CPU <= goalCPU && last.Memory <= goalMemory && last.Network <= goalNetwork &&
		last.InForce <= goalInForce && last.Calls <= goalReads
	word := "short"
	if ok {
		word = "ok"
	}
	fmt.Fprintf(s.Out, "scale: nodes=%d cpu=%.2f%% memory=%.1fMB network=%.1fKB/s inforce=%.2fs %s\n",
		last.VMs, last.CPU, last.Memory, last.Network, last.InForce, word)
	return ok, nil
}

// fleet lays out n entry VMs over up to ten failure domains, at least three in each.
func (s *Scale) fleet(n int) *procs.Fleet {
	domains := min(10, max(3, n/3))
	f := &procs.Fleet{Bin: s.Bin, Net: s.Net, Dir: s.Dir, Seed: 1, Entries: n / domains, Engines: 2, Beat: 1000,
		Env:           []string{"GOMAXPROCS=" + strconv.Itoa(cores)},
		PlatformFlags: []string{"-reads", "2000", "-writes", "400"}}
	if domains != len(procs.Domains) {
		for i := range domains {
			f.Names = append(f.Names, fmt.Sprintf("domain-%c", 'a'+i))
		}
	}
	return f
}

func (s *Scale) measure(n int) (row, error) {
	f := s.fleet(n)
	defer f.Stop()
	if err := f.Start(); err != nil {
		return row{}, err
	}
	d := procs.Document()
	if len(f.Names) > 0 {
		d.Domains = f.Names
	}
	d.Services = nil
	for i := range d.Workspaces {
		d.Workspaces[i].Services = nil
	}
	if err := f.Apply(d); err != nil {
		return row{}, err
	}
	if err := f.StartVMs(); err != nil {
		return row{}, err
	}
	if err := f.Ready(90*time.Second, f.VMs...); err != nil {
		return row{}, err
	}
	time.Sleep(s.Warmup)
	r, err := s.idle(f)
	if err != nil {
		return r, err
	}
	return r, s.spread(f, &r)
}

// idle measures the cost of control without requests and changes.
func (s *Scale) idle(f *procs.Fleet) (row, error) {
	r := row{VMs: len(f.VMs)}
	calls := s.calls(f) // before the totals, which would count the reading of the metrics
	before, err := s.total(f)
	if err != nil {
		return r, err
	}
	start := time.Now()
	time.Sleep(s.Window)
	took := time.Since(start).Seconds()
	after, err := s.total(f)
	if err != nil {
		return r, err
	}
	later := s.calls(f)
	per := float64(len(f.VMs))
	r.CPU = 100 * (after.cpu - before.cpu) / took / per
	r.Memory = after.memory
	r.Network = (after.bytes - before.bytes) / 1024 / took / per
	r.Calls = (later - calls) / took
	return r, nil
}

// total adds up processor time and bytes and takes the largest memory.
func (s *Scale) total(f *procs.Fleet) (usage, error) {
	var sum usage
	for _, v := range f.VMs {
		u, err := process(v.Proc.PID())
		if err != nil {
			return sum, err
		}
		sum.cpu += u.cpu
		sum.bytes += u.bytes
		sum.memory = max(sum.memory, u.memory)
	}
	return sum, nil
}

func (s *Scale) calls(f *procs.Fleet) float64 {
	sum := 0.0
	for _, m := range s.scrape(f) {
		sum += m["shallot_platform_calls_total"]
	}
	return sum
}

func (s *Scale) scrape(f *procs.Fleet) []map[string]float64 {
	all := make([]map[string]float64, len(f.VMs))
	var g errgroup.Group
	g.SetLimit(20)
	for i, v := range f.VMs {
		g.Go(func() error {
			m, err := scrape(v.Status)
			all[i] = m
			return err
		})
	}
	_ = g.Wait()
	return all
}

// spread applies changes and measures when each is in force. The VMs' clocks are one clock here.
func (s *Scale) spread(f *procs.Fleet, r *row) error {
	var times []float64
	for i := range changes {
		var revision uint64
		at := time.Now()
		err := f.Edit(fmt.Sprintf("change-%d", i), func(d *document.Document) { d.Note = strings.Repeat("n", i+1) })
		if err != nil {
			return err
		}
		done := time.Now()
		if _, revision, err = f.Read(); err != nil {
			return err
		}
		took, err := s.inForce(f, revision, at, done)
		if err != nil {
			return err
		}
		times = append(times, took...)
		time.Sleep(changeEvery)
	}
	slices.Sort(times)
	r.InForce = times[len(times)-1]
	r.Typical = times[len(times)*99/100]
	return nil
}

// inForce polls until every VM has the revision and returns the time of each since the change was accepted.
// The acceptance lies between at and done; the earlier is taken, so the figures are upper bounds.
func (s *Scale) inForce(f *procs.Fleet, revision uint64, at, done time.Time) ([]float64, error) {
	deadline := done.Add(time.Minute)
	for time.Now().Before(deadline) {
		var times []float64
		for _, m := range s.scrape(f) {
			if m != nil && m["shallot_config_revision"] >= float64(revision) {
				times = append(times, max(0, m["shallot_config_since_seconds"]-float64(at.UnixMilli())/1000))
			}
		}
		if len(times) == len(f.VMs) {
			return times, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("revision %d is not in force at all %d VMs after a minute", revision, len(f.VMs))
}
