package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/samber/oops"

	"shallotrun/core/clock"
	"shallotrun/internal/load"
	"shallotrun/internal/procs"
	"shallotrun/internal/verdict"
)

// configBound is the time within which an accepted configuration must be in effect on all VMs (guarantee P10).
const configBound = 8 * clock.Second

// Demo is one run of the demo. The exported fields are set before Run.
type Demo struct {
	Out   io.Writer
	Fleet *procs.Fleet
	Rate  float64 // requests per second
	Count int     // number of requests

	evidence verdict.Evidence
	clock    clock.Clock
}

// Main runs the command and returns its exit code: 0 on success, 1 on a violation or failure, 2 on wrong usage. The directory with
// the logs is kept after a violation or failure.
func Main(args []string, out, errs io.Writer) int {
	fs := flag.NewFlagSet("shallotlab demo", flag.ContinueOnError)
	fs.SetOutput(errs)
	net := fs.String("net", "127.0", "first two numbers of the loopback addresses")
	seed := fs.Uint64("seed", 1, "seed of the load")
	rate := fs.Float64("rate", 120, "requests per second")
	count := fs.Int("count", 3000, "number of requests")
	if err := fs.Parse(args); err != nil {
		return 2
	}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(errs, "demo:", err)
		return 1
	}
	dir, err := os.MkdirTemp("", "shallot-demo-")
	if err != nil {
		fmt.Fprintln(errs, "demo:", err)
		return 1
	}
	d := &Demo{Out: out, Rate: *rate, Count: *count, Fleet: &procs.Fleet{
		Bin: filepath.Dir(self), Net: *net, Dir: dir, Seed: *seed, Entries: 3, Engines: 4, Services: 1,
		EngineFlags: []string{"-token", "10ms", "-slots", "16"},
	}}
	ok, err := d.Run(*seed)
	if err != nil {
		fmt.Fprintln(errs, "demo:", err)
	}
	if err != nil || !ok {
		fmt.Fprintln(errs, "demo: the logs are in", dir)
		return 1
	}
	os.RemoveAll(dir)
	return 0
}

// Run runs the demo with the seed of the load and reports whether every guarantee held.
func (d *Demo) Run(seed uint64) (bool, error) {
	f := d.Fleet
	defer f.Stop()
	d.printf("starting %d failure domains with %d entry VMs, %d engines and %d plain services each",
		len(procs.Domains), f.Entries, f.Engines, f.Services)
	if err := f.Start(); err != nil {
		return false, err
	}
	if err := f.Apply(procs.Document()); err != nil {
		return false, err
	}
	if err := f.StartVMs(); err != nil {
		return false, err
	}
	if err := f.Ready(10*time.Second, f.VMs...); err != nil {
		return false, err
	}
	d.printf("all entry VMs are ready; sending %d requests at %g per second", d.Count, d.Rate)
	l := procs.Load(f, seed)
	l.Rate, l.Count = d.Rate, d.Count
	stepsErr := make(chan error, 1)
	go func() { stepsErr <- d.runSteps() }()
	res := l.Run(context.Background())
	if err := <-stepsErr; err != nil {
		return false, err
	}
	return d.verify(res)
}

// runSteps runs the operators' changes and the failures while the load runs. It returns when the stopped VM has exited, or after 20 s.
func (d *Demo) runSteps() error {
	f := d.Fleet
	stopped, killed := f.VMs[1], f.VMs[len(f.VMs)/2+1]
	steps := []struct {
		delay time.Duration // after the previous step
		text  string
		run   func() error
	}{
		{2 * time.Second, "rolling out small@2 to 50%", func() error {
			_, err := f.Ctl("rollout", "small@2", "50")
			return err
		}},
		{4 * time.Second, "withdrawing small@2", func() error {
			_, err := f.Ctl("withdraw", "small@2")
			d.evidence.Withdrawn = append(d.evidence.Withdrawn, verdict.Withdrawal{Model: "small", Version: "2", At: d.clock.Wall().Add(configBound)})
			return err
		}},
		{5 * time.Second, "stopping " + stopped.Name + " gracefully", func() error {
			d.evidence.Stops = append(d.evidence.Stops, verdict.Stop{Name: stopped.Name, Target: stopped.Callers, From: d.clock.Wall(), Code: -1})
			stopped.Proc.Signal(syscall.SIGTERM)
			return nil
		}},
		{4 * time.Second, "killing " + killed.Name, func() error {
			killed.Proc.Signal(syscall.SIGKILL)
			return nil
		}},
	}
	for _, s := range steps {
		time.Sleep(s.delay)
		d.printf("%s", s.text)
		if err := s.run(); err != nil {
			return oops.Wrapf(err, "%s", s.text)
		}
	}
	if code, ok := stopped.Proc.Exited(20 * time.Second); ok {
		d.evidence.Stops[0].Code = code
	}
	return nil
}

// verify stops the entry VMs, collects the stand-ins' records, checks the guarantees and prints the result.
func (d *Demo) verify(res load.Result) (bool, error) {
	d.printf("load has ended; stopping the entry VMs")
	for _, name := range d.Fleet.StopVMs(15 * time.Second) {
		d.evidence.Stops = append(d.evidence.Stops, verdict.Stop{Name: name, Code: -1})
	}
	if err := d.Fleet.Collect(&d.evidence); err != nil {
		return false, err
	}
	d.evidence.Records = res.Records
	r := verdict.Check(d.evidence)
	load.Print(d.Out, res.Summaries, func(s load.Summary) bool { return s.Tenant == "" })
	for i, v := range r.Violations {
		if i < 20 {
			d.printf("violation of %s: %s", v.Guarantee, v.Text)
		}
	}
	d.printDetails(res.Records)
	fmt.Fprintf(d.Out, "demo: requests=%d answered=%d refused=%d billed=%d duplicates=%d violations=%d\n",
		r.Requests, r.Answered, r.Refused, r.Billed, r.Duplicates, len(r.Violations))
	return len(r.Violations) == 0, nil
}

// printDetails prints why requests were refused or broken, and how often requests were resumed.
func (d *Demo) printDetails(rs []load.Record) {
	codes, resumed := map[string]int{}, 0
	for _, r := range rs {
		switch r.Outcome {
		case load.Refused:
			codes[r.Code+" ("+r.Ran+")"]++
		case load.Broken:
			d.printf("broken: %s %s at %s: %s", r.Kind, r.Item, r.Target, r.Error)
		}
		resumed += r.Resumes
	}
	for _, c := range slices.Sorted(maps.Keys(codes)) {
		d.printf("refused: %d with %s", codes[c], c)
	}
	d.printf("continued: %d at another entry VM", resumed)
}

// printf prints a line of progress.
func (d *Demo) printf(format string, args ...any) {
	fmt.Fprintf(d.Out, "demo: "+format+"\n", args...)
}
