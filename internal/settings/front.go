package settings

import (
	"os"
	"strconv"
	"strings"

	"github.com/samber/oops"
	"gopkg.in/ini.v1"

	"shallotrun/core/clock"
)

// Front holds the settings of the gateway daemon. Its fields are named after the keys of the file.
type Front struct {
	Name     string     // of this VM
	Domain   string     // failure domain
	Memory   int        // MB that the process may use, 0 for no limit
	Cores    int        // processor cores that the process may use at the same time
	Link     int        // Mbit/s of the VM's own link, 0 if it is unknown
	Power    float64    // processor time that the process may use, in cores; 0 if it is unknown
	Callers  string     // IP:port for callers
	Ready    string     // IP:port for the balancer's readiness probe
	Metrics  string     // IP:port for metrics, "" for none
	Peers    string     // IP:port for the other VMs, "" for none: this VM then reads the store itself
	Store    string     // IP:port of the platform's store
	Revoke   clock.Span // time within which a revoked key must be refused, 0 for no bound
	Apply    clock.Span // time within which a change in the store must be in force, 0 means 2 s
	Evacuate clock.Span // time within which an evacuation must be in force, 0: evacuations are not read
	Grace    clock.Span // time between the signal to stop and the end of the process
	Retries  float64    // extra attempts per request that the fleet may make
	Exposed  float64    // share of a service's requests that a bad version may get, 0 means 0.15
	Worth    float64    // value of a correct answer, in units of the models' cost
	Learn    bool       // learn how many requests each server takes well
	Trace    Trace      // export of traces
	Level    string     // least level of the log lines: debug, info, warn or error
}

// frontKey is one key of the gateway daemon's settings.
type frontKey struct {
	section, name string
	required      bool
	set           func(f *Front, v string) error
}

// variable returns the environment variable that sets the key if the file does not: a deployment's template may lack it.
func (k frontKey) variable() string { return "SHALLOT_" + strings.ToUpper(k.section+"_"+k.name) }

// frontKeys lists all keys of the gateway daemon's settings.
var frontKeys = []frontKey{
	{"vm", "name", true, func(f *Front, v string) error { return name(&f.Name, v) }},
	{"vm", "domain", true, func(f *Front, v string) error { return name(&f.Domain, v) }},
	{"vm", "memory", false, func(f *Front, v string) error { return integer(&f.Memory, v, 16, 1<<20) }},
	{"vm", "cores", false, func(f *Front, v string) error { return integer(&f.Cores, v, 1, 1024) }},
	{"vm", "power", false, func(f *Front, v string) error { return number(&f.Power, v) }},
	{"vm", "link", false, func(f *Front, v string) error { return bandwidth(&f.Link, v) }},
	{"listen", "callers", true, func(f *Front, v string) error { return addr(&f.Callers, v) }},
	{"listen", "ready", true, func(f *Front, v string) error { return addr(&f.Ready, v) }},
	{"listen", "metrics", false, func(f *Front, v string) error { return addr(&f.Metrics, v) }},
	{"listen", "peers", false, func(f *Front, v string) error { return addr(&f.Peers, v) }},
	{"store", "addr", true, func(f *Front, v string) error { return addr(&f.Store, v) }},
	{"bounds", "revoke", false, func(f *Front, v string) error { return span(&f.Revoke, v, 0, 3600_000) }},
	{"bounds", "apply", false, func(f *Front, v string) error { return shortestSpan(&f.Apply, v) }},
	{"bounds", "evacuate", false, func(f *Front, v string) error { return span(&f.Evacuate, v, 1, 3600_000) }},
	{"bounds", "grace", true, func(f *Front, v string) error { return seconds(&f.Grace, v) }},
	{"bounds", "retries", true, func(f *Front, v string) error { return number(&f.Retries, v) }},
	{"bounds", "exposed", false, func(f *Front, v string) error { return fraction(&f.Exposed, v) }},
	{"models", "worth", false, func(f *Front, v string) error { return number(&f.Worth, v) }},
	{"capacity", "learn", false, func(f *Front, v string) error { return onOff(&f.Learn, v) }},
	{"trace", "url", false, func(f *Front, v string) error { return httpURL(&f.Trace.URL, v) }},
	{"trace", "sample", false, func(f *Front, v string) error { return integer(&f.Trace.Sample, v, 0, 1000) }},
	{"log", "level", false, func(f *Front, v string) error { return choice(&f.Level, v, "debug", "info", "warn", "error") }},
}

// defaultWorth is the value of a correct answer in units of the models' cost, which is the cost of 1,000 generated tokens.
const defaultWorth = 2

// LoadFront reads the settings file of the gateway daemon. The error is of type [Faults].
func LoadFront(file string) (*Front, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, Faults{{File: file, Text: err.Error()}}
	}
	return ParseFront(file, raw)
}

// ParseFront reads the gateway daemon's settings from raw, the contents of file, which is named in the faults. The error is of
// type [Faults].
func ParseFront(file string, raw []byte) (*Front, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreInlineComment: true}, raw)
	if err != nil {
		return nil, Faults{{File: file, Text: err.Error()}}
	}
	known := make(map[string]map[string]bool)
	for _, k := range frontKeys {
		if known[k.section] == nil {
			known[k.section] = make(map[string]bool)
		}
		known[k.section][k.name] = true
	}
	r := &reader{file: file, ini: f}
	r.reportUnknown(known)
	out := &Front{Level: "info", Cores: 1, Worth: defaultWorth}
	for _, k := range frontKeys {
		v := strings.TrimSpace(f.Section(k.section).Key(k.name).Value())
		if v == "" {
			v = os.Getenv(k.variable())
		}
		switch {
		case v == "" && k.required:
			r.addFault(k.section, k.name, "missing")
		case v == "":
		default:
			if err := k.set(out, v); err != nil {
				r.addFault(k.section, k.name, "%v", err)
			}
		}
	}
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return out, nil
}

// seconds reads a time in seconds, which may have a fraction.
func seconds(to *clock.Span, v string) error {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n <= 0 || n > 3600 {
		return oops.Errorf("%q, want seconds from 0 to 3600", v)
	}
	*to = clock.Span(n * float64(clock.Second))
	return nil
}

// shortestSpan reads one or several spans in milliseconds, separated by commas, and keeps the shortest.
func shortestSpan(to *clock.Span, v string) error {
	for _, s := range split(v) {
		var n clock.Span
		if err := span(&n, s, 1, 3600_000); err != nil {
			return err
		}
		if *to == 0 || n < *to {
			*to = n
		}
	}
	return nil
}

// bandwidth reads a rate in Mbit/s. The file may give a fraction, which is cut off.
func bandwidth(to *int, v string) error {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 1 || n > 1e6 {
		return oops.Errorf("%q, want Mbit/s from 1 to 1000000", v)
	}
	*to = int(n)
	return nil
}

// number reads a number from 0 to 100, which may have a fraction.
func number(to *float64, v string) error {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 || n > 100 {
		return oops.Errorf("%q, want a number from 0 to 100", v)
	}
	*to = n
	return nil
}

// onOff reads a switch.
func onOff(to *bool, v string) error {
	if v != "on" && v != "off" {
		return oops.Errorf("%q, want on or off", v)
	}
	*to = v == "on"
	return nil
}

// fraction reads a number from 0 to 1.
func fraction(to *float64, v string) error {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 || n > 1 {
		return oops.Errorf("%q, want a number from 0 to 1", v)
	}
	*to = n
	return nil
}
