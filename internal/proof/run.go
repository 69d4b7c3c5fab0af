package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/samber/oops"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/work"
	"shallotrun/internal/load"
	"shallotrun/internal/procs"
	"shallotrun/internal/standin/platform"
	"shallotrun/internal/verdict"
)

// Bounds from section 1.1 of the design page: the time that a change takes to reach all entry VMs.
const (
	changeBound = 8 * clock.Second // P10, and the part of P2 in which the withdrawal spreads
	leaveBound  = 3 * clock.Second // P8
)

// Load of one case. It lasts until the operator's changes are in effect, even if the fault delays them by up to 4 s.
const (
	loadRate  = 70
	loadCount = 1050
	// Without a deadline of the caller, a plain call has 30 s. With this one, entry VMs answer before callers give up, so that a
	// caller that gives up indicates a fault.
	deadline = 8000 // milliseconds
	stall    = 11 * time.Second
	// An entry daemon may take up to 20 s to save its bills at a planned stop.
	stopWait = 15 * time.Second
	// Shorter than the time for which an entry VM is frozen: callers resume at another VM the streams that the frozen one still holds.
	streamGap = 1500 * time.Millisecond
)

// result is the outcome of one case.
type result struct {
	testCase string
	seed     uint64
	report   verdict.Report
	evidence verdict.Evidence
	dir      string // directory of the logs, "" if it was removed
	err      error
}

// run runs one case on addresses of its own, which begin with net. It keeps the logs unless all guarantees held.
func run(c testCase, seed uint64, net, bin string) result {
	res := result{testCase: c.name, seed: seed}
	dir, err := os.MkdirTemp("", "shallot-proof-"+c.name+"-")
	if err != nil {
		res.err = err
		return res
	}
	res.dir = dir
	s := &caseRun{rand: rand.New(rand.NewPCG(seed, 11)), Fleet: &procs.Fleet{
		Bin: bin, Net: net, Dir: dir, Seed: seed, Entries: 3, Engines: 2, Services: 1, UseRelay: true,
		EngineFlags: []string{"-token", "10ms", "-slots", "24"},
	}}
	defer s.Stop()
	if res.err = s.prepare(); res.err == nil {
		res.err = s.execute(c, seed, &res)
	}
	return res
}

// prepare starts all processes and draws the targets and the times of the fault.
func (s *caseRun) prepare() error {
	if err := s.Start(); err != nil {
		return err
	}
	if err := s.Apply(initialDocument()); err != nil {
		return err
	}
	if err := s.StartVMs(); err != nil {
		return err
	}
	if err := s.Ready(10*time.Second, s.VMs...); err != nil {
		return err
	}
	for _, i := range s.rand.Perm(len(s.VMs)) {
		s.targets = append(s.targets, s.VMs[i])
	}
	s.cutDomain = s.targets[0].Domain
	s.faultDelay = time.Second + time.Duration(s.rand.IntN(500))*time.Millisecond
	s.leaveSource = s.rand.IntN(3)
	return nil
}

// initialDocument returns the document that the cases begin with: the canary version of the first model gets 40% of its requests.
func initialDocument() *document.Document {
	d := procs.Document()
	d.Models[0].Versions[1].Share = 40
	return d
}

// execute runs the load, the operator's changes and the fault concurrently, then collects the evidence and checks it.
func (s *caseRun) execute(c testCase, seed uint64, res *result) error {
	l := procs.Load(s.Fleet, seed)
	l.Rate, l.Count, l.IdleTimeout, l.ResumableIdleTimeout, l.Mix.Deadline = loadRate, loadCount, stall, streamGap, deadline
	l.Mix.KeyedFraction, l.Mix.DuplicateFraction = 0.7, 0.2
	e := &res.evidence
	done := make(chan error, 2)
	go func() { done <- s.operate(e) }()
	go func() {
		time.Sleep(s.faultDelay)
		done <- c.inject(s)
	}()
	e.Records = l.Run(context.Background()).Records
	for range 2 {
		if err := <-done; err != nil {
			return err
		}
	}
	if err := s.waitForBills(e); err != nil {
		return err
	}
	bad := s.StopVMs(stopWait)
	for _, name := range bad {
		if !s.wasKilled(name) {
			e.Stops = append(e.Stops, verdict.Stop{Name: name, Code: -1})
		}
	}
	if err := s.Collect(e); err != nil {
		return err
	}
	e.DoubleFailures = s.doubleFailures
	res.report = verdict.Check(*e)
	s.checkAcceptedChanges(&res.report)
	if len(res.report.Violations) == 0 {
		res.dir = ""
		return os.RemoveAll(s.Dir)
	}
	return s.writeEvidence(*e, res.report)
}

// writeEvidence writes the evidence and the report to evidence.json beside the logs, so that violations can be traced.
func (s *caseRun) writeEvidence(e verdict.Evidence, r verdict.Report) error {
	b, err := json.MarshalIndent(struct {
		Evidence verdict.Evidence
		Report   verdict.Report
	}{e, r}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.Dir, "evidence.json"), b, 0o600)
}

// operate makes the changes of every case, one after the other: a withdrawal of a version, a changed route, a leaving engine and a
// planned stop of an entry VM.
func (s *caseRun) operate(e *verdict.Evidence) error {
	time.Sleep(1500 * time.Millisecond)
	at, err := s.retryUntilAccepted(func() error { _, err := s.Ctl("withdraw", "small@2"); return err })
	if err != nil {
		return oops.Wrapf(err, "withdrawal")
	}
	e.Withdrawn = append(e.Withdrawn, verdict.Withdrawal{Model: "small", Version: "2", At: at.Add(changeBound)})
	at, err = s.retryUntilAccepted(func() error {
		return s.EditDocument("route", func(d *document.Document) { d.Routes[0].Model = "large" })
	})
	if err != nil {
		return oops.Wrapf(err, "change of the route")
	}
	e.Reroutes = append(e.Reroutes, verdict.Reroute{Route: "labels", Model: "large", At: at.Add(changeBound)})
	if err := s.leaveEngine(e); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	v := s.targets[len(s.targets)-1]
	stop := verdict.Stop{Name: v.Name, Target: v.Callers, From: s.clock.Wall(), Code: -1}
	v.Proc.Signal(syscall.SIGTERM)
	if code, ok := v.Proc.Exited(stopWait); ok {
		stop.Code = code
	}
	e.Stops = append(e.Stops, stop)
	return nil
}

// leaveEngine marks one engine of the large model, outside the cut-off domain, as leaving: in the engine's own answers, in the VM
// list, or in both.
func (s *caseRun) leaveEngine(e *verdict.Evidence) error {
	for _, b := range s.Backends {
		if b.Kind != work.KindEngine || b.Pool != "large" || b.Domain == s.cutDomain {
			continue
		}
		if s.leaveSource != 1 {
			if err := procs.SetFault(b.Control, "leaving", nil, 0); err != nil {
				return err
			}
		}
		e.Leaves = append(e.Leaves, verdict.Leave{Name: b.Name, At: max(s.clock.Wall(), s.latestFaultEnd()).Add(leaveBound)})
		if s.leaveSource == 0 {
			return nil
		}
		return s.MarkLeaving(b)
	}
	return nil
}

// retryUntilAccepted retries an operator's change until it is accepted, 20 times at most, and returns the time from which
// it can spread: the later of now and the end of the fault, because the change cannot reach a domain that is cut off.
func (s *caseRun) retryUntilAccepted(do func() error) (clock.Time, error) {
	var err error
	for range 20 {
		if err = do(); err == nil {
			return max(s.clock.Wall(), s.latestFaultEnd()), nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return 0, err
}

// latestFaultEnd returns the time at which the last of the faults noted by extendFaults ends.
func (s *caseRun) latestFaultEnd() clock.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultsEnd
}

// waitForBills waits up to 15 s until the bills of all answered requests are in the platform's store. Missing bills are no error.
func (s *caseRun) waitForBills(e *verdict.Evidence) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		var items platform.Items
		if err := procs.Get(s.PlatformControl(), "/objects/bills", &items); err != nil {
			return err
		}
		billed := map[string]bool{}
		for _, b := range verdict.Bills(items.Items) {
			billed[b.Request] = true
		}
		missing := 0
		for _, r := range e.Records {
			if n := len(r.RequestIDs); r.Outcome == load.Answered && n > 0 && !billed[r.RequestIDs[n-1]] {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
	}
	return nil // verdict.Check reports the missing ones as not billed
}

// checkAcceptedChanges adds a violation for each change that was reported to an operator as accepted and is not in the document.
func (s *caseRun) checkAcceptedChanges(r *verdict.Report) {
	d, _, err := s.ReadDocument()
	if err != nil {
		r.Violations = append(r.Violations, verdict.Violation{Guarantee: "P10", Text: err.Error()})
		return
	}
	for i, w := range s.acceptedWeights {
		if w != 0 && d.Workspaces[firstRacedWorkspace+i].Weight != w {
			text := fmt.Sprintf("operator %d was told that weight %d is accepted, the document has %d",
				i, w, d.Workspaces[firstRacedWorkspace+i].Weight)
			r.Violations = append(r.Violations, verdict.Violation{Guarantee: "P10", Text: text})
		}
	}
	if d.Routes[0].Model != "large" || d.Models[0].Versions[1].State != document.Withdrawn {
		r.Violations = append(r.Violations, verdict.Violation{Guarantee: "P10", Text: "an accepted change is not in the document"})
	}
}

// wasKilled reports whether the fault killed the VM with this name.
func (s *caseRun) wasKilled(name string) bool {
	for _, v := range s.killed {
		if v.Name == name {
			return true
		}
	}
	return false
}

// binaryDir returns the directory of the runner's own program, which also contains the other programs.
func binaryDir() (string, error) {
	self, err := os.Executable()
	return filepath.Dir(self), err
}
