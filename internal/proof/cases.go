package proof

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotrun/core/document"
	"shallotrun/core/work"
	"shallotrun/internal/procs"
)

// testCase is one fault or a combination of faults. inject sets the fault and, if the fault lasts for a time, waits until it is over.
type testCase struct {
	name   string
	inject func(*caseRun) error
}

var cases = []testCase{
	{"none", func(*caseRun) error { return nil }},
	{"kill", func(s *caseRun) error { return s.killAndRestart(s.targets[0]) }},
	{"kill-twice", func(s *caseRun) error {
		if err := s.killAndRestart(s.targets[0]); err != nil {
			return err
		}
		time.Sleep(time.Second)
		s.recordDoubleFailure(s.targets[0], s.targets[1])
		return s.killAndRestart(s.targets[1])
	}},
	{"freeze", func(s *caseRun) error {
		s.freeze(s.targets[0], faultTime)
		return nil
	}},
	{"freeze-twice", func(s *caseRun) error {
		s.freeze(s.targets[0], faultTime)
		time.Sleep(500 * time.Millisecond)
		s.freeze(s.targets[0], faultTime/2)
		return nil
	}},
	{"cut-domain", func(s *caseRun) error { return waitForFault(s.faultRelay("cut", s.interDomainGroups(), faultTime)) }},
	{"hang-domain", func(s *caseRun) error { return waitForFault(s.faultRelay("hang", s.interDomainGroups(), faultTime)) }},
	{"cut-platform", func(s *caseRun) error { return waitForFault(s.faultRelay("cut", s.platformGroup(), faultTime)) }},
	{"isolated-domain", func(s *caseRun) error {
		return waitForFault(s.faultRelay("hang", s.interDomainGroups()+","+s.platformGroup(), faultTime))
	}},
	{"platform-down", func(s *caseRun) error { return waitForFault(s.faultPlatform("down", nil, faultTime)) }},
	{"platform-slow", func(s *caseRun) error { return waitForFault(s.faultPlatform("slow", 800, faultTime)) }},
	{"platform-lost-answers", func(s *caseRun) error { return waitForFault(s.faultPlatform("lose", 0.5, faultTime)) }},
	{"vm-list-frozen", func(s *caseRun) error { return waitForFault(s.faultPlatform("freeze", nil, 2*faultTime)) }},
	{"operators-race", raceOperators},
	{"silent-connections", func(s *caseRun) error { return s.faultRelay("silent", "", 0) }},
	{"silent-twice", func(s *caseRun) error {
		if err := s.faultRelay("silent", "", 0); err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
		return s.faultRelay("silent", "", 0)
	}},
	{"engine-crash", func(s *caseRun) error { return s.faultBackends(everyNth(work.KindEngine, 3), "crash", nil, 0) }},
	{"engine-closes", func(s *caseRun) error {
		return waitForFault(s.faultBackends(everyNth(work.KindEngine, 2), "close", 0.5, faultTime))
	}},
	{"engine-jumbles", func(s *caseRun) error {
		return waitForFault(s.faultBackends(everyNth(work.KindEngine, 2), "jumble", 0.03, faultTime))
	}},
	{"rating-down", func(s *caseRun) error { return waitForFault(s.faultRating("down")) }},
	{"rating-silent", func(s *caseRun) error { return waitForFault(s.faultRating("silent")) }},
	{"version-bad", func(s *caseRun) error {
		return waitForFault(s.faultBackends(everyNth(work.KindEngine, 1), "bad", "small@2", 2*faultTime))
	}},
	{"service-closes", func(s *caseRun) error {
		return waitForFault(s.faultBackends(everyNth(work.KindService, 1), "close", 0.3, faultTime))
	}},
	{"down-and-kill", func(s *caseRun) error {
		if err := s.faultPlatform("down", nil, faultTime+time.Second); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
		s.killWithoutRestart(s.targets[0])
		return waitForFault(nil)
	}},
	{"lost-answers-and-freeze", func(s *caseRun) error {
		if err := s.faultPlatform("lose", 0.5, faultTime); err != nil {
			return err
		}
		s.freeze(s.targets[0], faultTime)
		return nil
	}},
	{"cut-and-freeze", func(s *caseRun) error {
		if err := s.faultRelay("cut", s.interDomainGroups(), faultTime); err != nil {
			return err
		}
		s.freeze(s.targets[0], faultTime)
		return nil
	}},
	{"silent-and-kill", func(s *caseRun) error {
		if err := s.faultRelay("silent", "", 0); err != nil {
			return err
		}
		s.recordDoubleFailure(s.targets[0]) // replicas of bills in transit on a silent connection may be lost with the VM
		return s.killAndRestart(s.targets[0])
	}},
}

// raceOperators lets two operators edit the same document concurrently, in four rounds. Each changes the weight of a workspace of its
// own. At the end, the document must hold the last change of each operator that was reported as accepted.
func raceOperators(s *caseRun) error {
	for round := range 4 {
		var g errgroup.Group
		for i := range s.acceptedWeights {
			workspace, weight := firstRacedWorkspace+i, 10*(i+1)+round
			g.Go(func() error {
				err := s.EditDocument(fmt.Sprintf("operator-%d", i), func(d *document.Document) { d.Workspaces[workspace].Weight = weight })
				if err == nil {
					s.acceptedWeights[i] = weight
				}
				return nil // a conflict is a correct result for one of the two
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// everyNth returns a function that selects every nth backend server of a kind. It counts calls, so it serves for one pass only.
func everyNth(kind string, nth int) func(*procs.Backend) bool {
	n := 0
	return func(b *procs.Backend) bool {
		if b.Kind != kind {
			return false
		}
		n++
		return n%nth == 0
	}
}

// waitForFault waits for faultTime after a fault was set, or returns the error of setting it.
func waitForFault(err error) error {
	if err == nil {
		time.Sleep(faultTime)
	}
	return err
}
