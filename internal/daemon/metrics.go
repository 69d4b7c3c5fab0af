package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"shallotrun/core/clock"
)

// registerMetrics registers the daemon's metrics that belong to no single part. docs/metrics.md lists them.
func (d *Daemon) registerMetrics() {
	gauge := func(name, help string, f func() float64) {
		d.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
	}
	gauge("shallot_config_revision", "Revision of the document in force, 0 before the first one.", func() float64 {
		return float64(d.store.Revision())
	})
	gauge("shallot_config_since_seconds", "Wall clock time at which the document in force came into force.", func() float64 {
		if s := d.store.Current(); s != nil {
			return seconds(s.At)
		}
		return 0
	})
	gauge("shallot_platform_silent_seconds", "Time since the platform last answered.", func() float64 {
		return float64(d.store.Staleness()) / float64(clock.Second)
	})
	d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "shallot_platform_calls_total", Help: "Calls to the platform, waiting watches included.",
	}, func() float64 { return float64(d.client.Calls()) }))
}

func seconds(t clock.Time) float64 { return float64(t) / float64(clock.Second) }
