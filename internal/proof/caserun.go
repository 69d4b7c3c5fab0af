package proof

import (
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"shallotrun/core/clock"
	"shallotrun/internal/procs"
	"shallotrun/internal/verdict"
)

// faultTime is how long a fault lasts. It exceeds the 2.5 s of silence after which a VM is considered gone with the runners'
// heartbeats of 250 ms, so that the replicas of its bills are taken over.
const faultTime = 4 * time.Second

// caseRun is one run of a case. Its faults are set one after the other.
type caseRun struct {
	*procs.Fleet
	rand  *rand.Rand
	clock clock.Clock

	targets         []*procs.VM   // entry VMs in random order: faults act on the first ones, the planned stop on the last
	cutDomain       string        // failure domain that is cut off
	faultDelay      time.Duration // time from the start of the load to the fault
	leaveSource     int           // where an engine is marked as leaving: 0 in its own answers, 1 in the VM list, 2 in both
	doubleFailures  []verdict.DoubleFailure
	killed          []*procs.VM
	mu              sync.Mutex
	faultsEnd       clock.Time // latest end of the faults of the relay, the platform and frozen VMs
	acceptedWeights [2]int     // last accepted weight of each racing operator, 0 for none
}

// firstRacedWorkspace is the index of the first workspace that racing operators change.
const firstRacedWorkspace = 4

// killAndRestart kills an entry daemon and starts it again after one second, as a new incarnation.
func (s *caseRun) killAndRestart(v *procs.VM) error {
	v.Proc.Signal(syscall.SIGKILL)
	s.killed = append(s.killed, v)
	time.Sleep(time.Second)
	return s.StartVM(v)
}

// killWithoutRestart kills an entry daemon.
func (s *caseRun) killWithoutRestart(v *procs.VM) {
	v.Proc.Signal(syscall.SIGKILL)
	s.killed = append(s.killed, v)
}

// recordDoubleFailure records that the VMs failed within a few seconds of each other: bills with replicas only on them are lost,
// and the design does not cover this double failure.
func (s *caseRun) recordDoubleFailure(vs ...*procs.VM) {
	now := s.clock.Wall()
	for _, v := range vs {
		s.doubleFailures = append(s.doubleFailures, verdict.DoubleFailure{
			Target: v.Callers, From: now.Add(-5 * clock.Second), To: now.Add(5 * clock.Second),
		})
	}
}

// freeze stops the process of an entry VM for d and then continues it, as when a virtual machine is paused.
func (s *caseRun) freeze(v *procs.VM, d time.Duration) {
	s.extendFaults(d)
	v.Proc.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.Proc.Signal(syscall.SIGCONT)
}

// faultPlatform sets a fault of the platform for d.
func (s *caseRun) faultPlatform(name string, value any, d time.Duration) error {
	s.extendFaults(d)
	return procs.SetFault(s.PlatformControl(), name, value, clock.FromStd(d))
}

// faultRelay sets a fault of the relay for d, on groups of connections separated by commas ("" for all).
func (s *caseRun) faultRelay(name, groups string, d time.Duration) error {
	s.extendFaults(d)
	return procs.SetFault(s.RelayControl(), name, groups, clock.FromStd(d))
}

// extendFaults notes that a fault lasts for d from now, for latestFaultEnd.
func (s *caseRun) extendFaults(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsEnd = max(s.faultsEnd, s.clock.Wall().Add(clock.FromStd(d)))
}

// faultBackends sets a fault for d at the backend servers that pick selects.
func (s *caseRun) faultBackends(pick func(*procs.Backend) bool, name string, value any, d time.Duration) error {
	for _, b := range s.Backends {
		if !pick(b) {
			continue
		}
		if err := procs.SetFault(b.Control, name, value, clock.FromStd(d)); err != nil {
			return err
		}
	}
	return nil
}

// faultRating sets a fault of the rating service for faultTime.
func (s *caseRun) faultRating(name string) error {
	return procs.SetFault(s.RatingControl(), name, nil, clock.FromStd(faultTime))
}

// interDomainGroups returns the relay's groups of connections between the cut-off domain and the other domains, in both directions.
func (s *caseRun) interDomainGroups() string {
	var gs []string
	for _, d := range procs.Domains {
		if d != s.cutDomain {
			gs = append(gs, s.cutDomain+"."+d, d+"."+s.cutDomain)
		}
	}
	return strings.Join(gs, ",")
}

// platformGroup returns the relay's group of connections from the cut-off domain to the platform.
func (s *caseRun) platformGroup() string { return s.cutDomain + ".platform" }
