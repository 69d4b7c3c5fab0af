package proof

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotrun/core/document"
	"shallotrun/core/work"
	"shallotrun/internal/procs"
)

// testCase is one fault or combination. do returns when the fault is over.
type testCase struct {
	name string
	do   func(*scene) error
}

var cases = []testCase{
	{"none", func(*scene) error { return nil }},
	{"kill", func(s *scene) error { return s.kill(s.victims[0]) }},
	{"kill-twice", func(s *scene) error {
		if err := s.kill(s.victims[0]); err != nil {
			return err
		}
		time.Sleep(time.Second)
		s.both(s.victims[0], s.victims[1])
		return s.kill(s.victims[1])
	}},
	{"freeze", func(s *scene) error {
		s.freeze(s.victims[0], faultTime)
		return nil
	}},
	{"freeze-twice", func(s *scene) error {
		s.freeze(s.victims[0], faultTime)
		time.Sleep(500 * time.Millisecond)
		s.freeze(s.victims[0], faultTime/2)
		return nil
	}},
	{"cut-domain", func(s *scene) error { return during(s.link("cut", s.between(), faultTime)) }},
	{"hang-domain", func(s *scene) error { return during(s.link("hang", s.between(), faultTime)) }},
	{"cut-platform", func(s *scene) error { return during(s.link("cut", s.toPlatform(), faultTime)) }},
	{"isolated-domain", func(s *scene) error {
		return during(s.link("hang", s.between()+","+s.toPlatform(), faultTime))
	}},
	{"platform-down", func(s *scene) error { return during(s.platform("down", nil, faultTime)) }},
	{"platform-slow", func(s *scene) error { return during(s.platform("slow", 800, faultTime)) }},
	{"platform-lost-answers", func(s *scene) error { return during(s.platform("lose", 0.5, faultTime)) }},
	{"vm-list-frozen", func(s *scene) error { return during(s.platform("freeze", nil, 2*faultTime)) }},
	{"operators-race", race},
	{"silent-connections", func(s *scene) error { return s.link("silent", "", 0) }},
	{"silent-twice", func(s *scene) error {
		if err := s.link("silent", "", 0); err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
		return s.link("silent", "", 0)
	}},
	{"engine-crash", func(s *scene) error { return s.backends(some(work.KindEngine, 3), "crash", nil, 0) }},
	{"engine-closes", func(s *scene) error {
		return during(s.backends(some(work.KindEngine, 2), "close", 0.5, faultTime))
	}},
	{"engine-jumbles", func(s *scene) error {
		return during(s.backends(some(work.KindEngine, 2), "jumble", 0.03, faultTime))
	}},
	{"rating-down", func(s *scene) error { return during(s.rating("down")) }},
	{"rating-silent", func(s *scene) error { return during(s.rating("silent")) }},
	{"version-bad", func(s *scene) error {
		return during(s.backends(some(work.KindEngine, 1), "bad", "small@2", 2*faultTime))
	}},
	{"service-closes", func(s *scene) error {
		return during(s.backends(some(work.KindService, 1), "close", 0.3, faultTime))
	}},
	{"down-and-kill", func(s *scene) error {
		if err := s.platform("down", nil, faultTime+time.Second); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
		s.killForGood(s.victims[0])
		return during(nil)
	}},
	{"lost-answers-and-freeze", func(s *scene) error {
		if err := s.platform("lose", 0.5, faultTime); err != nil {
			return err
		}
		s.freeze(s.victims[0], faultTime)
		return nil
	}},
	{"cut-and-freeze", func(s *scene) error {
		if err := s.link("cut", s.between(), faultTime); err != nil {
			return err
		}
		s.freeze(s.victims[0], faultTime)
		return nil
	}},
	{"silent-and-kill", func(s *scene) error {
		if err := s.link("silent", "", 0); err != nil {
			return err
		}
		s.both(s.victims[0]) // copies on their way over a silent connection may be lost with the VM
		return s.kill(s.victims[0])
	}},
}

// race lets two operators edit the same document at once, several times. Each changes the weight of
// another workspace: the document must end with the last change that each was told is accepted.
func race(s *scene) error {
	for round := range 4 {
		var g errgroup.Group
		for i := range s.weights {
			space, weight := raced+i, 10*(i+1)+round
			g.Go(func() error {
				err := s.Edit(fmt.Sprintf("operator-%d", i), func(d *document.Document) { d.Workspaces[space].Weight = weight })
				if err == nil {
					s.weights[i] = weight
				}
				return nil // a conflict is the right answer to one of the two
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// some selects every nth backend server of a kind.
func some(kind string, nth int) func(*procs.Backend) bool {
	n := 0
	return func(b *procs.Backend) bool {
		if b.Kind != kind {
			return false
		}
		n++
		return n%nth == 0
	}
}

// during waits for the end of a fault that was put in force.
func during(err error) error {
	if err == nil {
		time.Sleep(faultTime)
	}
	return err
}
