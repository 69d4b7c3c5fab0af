package procs

import (
	"time"

	"shallotrun/core/document"
	"shallotrun/core/work"
	"shallotrun/internal/load"
	"shallotrun/internal/standin/platform"
	"shallotrun/internal/verdict"
)

// Load returns the mixed load of the runners, sent to all entry VMs.
func Load(f *Fleet, seed uint64) load.Generator {
	return load.Generator{
		Targets: f.Callers(), Rate: 100, Count: 1000, Seed: seed, Tenants: Tenants(), IdleTimeout: 15 * time.Second, MaxResumes: 4,
		Mix: load.Mix{
			RankWeights: [3]int{2, 5, 3}, Models: []string{"small", "small", "labels", "large", "careful"},
			StreamFraction: 0.6, SessionFraction: 0.3, PlainFraction: 0.25, KeyedFraction: 0.5, Service: "tags",
			KeyDomains: append([]string{""}, Domains...), PromptWords: 40, MaxTokens: 64,
		},
	}
}

// Collect adds the ledgers of all backend servers, the bills in the platform's store and the permissions of Document to the evidence.
func (f *Fleet) Collect(e *verdict.Evidence) error {
	for _, b := range f.Backends {
		es, err := ReadLedger(b.Control)
		if err != nil {
			return err
		}
		if b.Kind == work.KindEngine {
			e.Engines = append(e.Engines, es...)
		} else {
			e.Services = append(e.Services, es...)
		}
	}
	var items platform.Items
	if err := Get(f.PlatformControl(), "/objects/bills", &items); err != nil {
		return err
	}
	e.Bills = verdict.Bills(items.Items)
	e.Allowed = Allowed(Document())
	return nil
}

// Allowed returns a function that reports whether a workspace of the document may use a version of a model.
func Allowed(d *document.Document) func(workspace, model, version string) bool {
	type use struct{ workspace, name string }
	all := map[use]bool{}
	for _, w := range d.Workspaces {
		for _, a := range w.Allow {
			all[use{w.Name, a}] = true
		}
	}
	return func(workspace, model, version string) bool {
		return all[use{workspace, model}] || all[use{workspace, model + "@" + version}]
	}
}
