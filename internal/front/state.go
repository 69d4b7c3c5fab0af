package front

import (
	"shallotrun/core/backend"
	"shallotrun/core/canary"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/limit"
	"shallotrun/core/load"
	"shallotrun/core/quarantine"
	"shallotrun/internal/feed"
)

// state adapts the feed to what the request path reads of the platform's store (gateway.State).
type state struct{ *feed.Feed }

// Table returns nil until the feed has listed every kind of object.
func (s *state) Table() *catalog.Table {
	if !s.Synchronised() {
		return nil
	}
	return s.Config.Table()
}

func (s *state) Choose(now clock.Time, service, session string, all []backend.Server) []backend.Server {
	return s.Orders.Choose(now, service, session, all)
}

func (s *state) Overdue(now clock.Time, service string, v canary.Result) bool {
	return s.Orders.Overdue(now, service, v)
}

func (s *state) UsageByOthers(now clock.Time) *load.Totals { return s.Loads.Others(now) }

func (s *state) RecordCrash(now clock.Time, c quarantine.Crash) { s.Quarantine.RecordCrash(now, c) }

func (s *state) RecordStart(now clock.Time, service string, c quarantine.Content) {
	s.Quarantine.RecordStart(now, service, c)
}

func (s *state) Proven(now clock.Time, service string, c quarantine.Content) bool {
	return s.Quarantine.Proven(now, service, c)
}

func (s *state) Remembers(now clock.Time, service string) bool {
	return s.Quarantine.Remembers(now, service)
}

func (s *state) Check(now clock.Time, q quarantine.Request) (*quarantine.Refusal, bool) {
	return s.Quarantine.Check(now, q)
}

func (s *state) RecordLimit(now, sent clock.Time, v backend.Server, n limit.Notice) bool {
	return s.Limits.RecordLimit(now, sent, v, n)
}

func (s *state) WithoutLeaving(all []backend.Server) []backend.Server {
	return s.Limits.WithoutLeaving(all)
}

func (s *state) WithoutEvacuated(all []backend.Server) (usable, away []backend.Server, wait clock.Span) {
	return s.Evacuated.Split(s.Clock.Now(), all)
}

func (s *state) EvacuatedDomains() int { return s.Evacuated.Len(s.Clock.Now()) }

func (s *state) FreeSlots(service string) map[string]bool {
	return s.Limits.FreeSlots(s.Clock.Boot(), service)
}

func (s *state) MayTake(service, workspace string) bool {
	return s.Limits.MayTake(s.Clock.Boot(), service, workspace)
}

func (s *state) TakeSlot(v backend.Server, workspace string) bool {
	return s.Limits.TakeSlot(s.Clock.Boot(), v, workspace)
}

func (s *state) RefuseForLimits(service, workspace string) clock.Span {
	return s.Limits.Refuse(s.Clock.Boot(), service, workspace)
}

func (s *state) Limited() map[string]int { return s.Limits.Limited(s.Clock.Boot()) }

// Cold returns the number of cold servers of each service that has a limit for them.
func (s *state) Cold() map[string]int { return s.Limits.Cold(s.Clock.Boot()) }

func (s *state) Rules(now clock.Time) []quarantine.Rule { return s.Quarantine.Rules(now) }

func (s *state) Report(now clock.Time, service string, v canary.Result) {
	s.Orders.Record(now, service, v)
}
