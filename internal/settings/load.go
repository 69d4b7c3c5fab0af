package settings

import (
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// Load reads the settings file of the entry daemon. The error is of type [Faults] and holds every fault found, so that one check
// of the file finds all of them.
func Load(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, Faults{{File: file, Text: err.Error()}}
	}
	return Parse(file, raw, os.LookupEnv)
}

// Parse reads the entry daemon's settings from raw, the contents of file, which is named in the faults. lookup returns
// environment variables. The error is of type [Faults].
func Parse(file string, raw []byte, lookup func(string) (string, bool)) (*Settings, error) {
	options := ini.LoadOptions{
		AllowShadows:               true, // otherwise a second value of a key silently replaces the first
		AllowDuplicateShadowValues: true,
		IgnoreInlineComment:        true,
		SkipUnrecognizableLines:    false,
	}
	f, err := ini.LoadSources(options, raw)
	if err != nil {
		return nil, Faults{{File: file, Text: err.Error()}}
	}
	r := &reader{file: file, lookup: lookup, ini: f}
	known := map[string]map[string]bool{}
	for _, k := range Reference {
		if known[k.Section] == nil {
			known[k.Section] = map[string]bool{}
		}
		known[k.Section][k.Name] = true
	}
	r.reportUnknown(known)
	s := new(Settings)
	for _, k := range Reference {
		r.readKey(s, k)
	}
	r.checkAcrossKeys(s)
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	if s.Peers.Announce == "" {
		s.Peers.Announce = s.Peers.Addr
	}
	return s, nil
}

// reader reads one file and collects its faults.
type reader struct {
	file   string
	lookup func(string) (string, bool)
	ini    *ini.File
	faults Faults
}

func (r *reader) addFault(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{File: r.file, Section: section, Key: key, Text: fmt.Sprintf(format, args...)})
}

// reportUnknown adds a fault for each section and key that is not known, since a misspelt key would otherwise leave a default in
// force, and for each key that occurs twice.
func (r *reader) reportUnknown(known map[string]map[string]bool) {
	for _, s := range r.ini.Sections() {
		keys := known[s.Name()]
		if keys == nil && s.Name() != ini.DefaultSection {
			r.addFault(s.Name(), "", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			switch {
			case !keys[k.Name()]:
				r.addFault(s.Name(), k.Name(), "unknown key")
			case len(k.ValueWithShadows()) > 1:
				r.addFault(s.Name(), k.Name(), "the key occurs twice")
			}
		}
	}
}

// readKey sets the value of one key, with its environment variable or default, or adds a fault.
func (r *reader) readKey(s *Settings, k Key) {
	v := ""
	if r.ini.HasSection(k.Section) {
		v = r.ini.Section(k.Section).Key(k.Name).Value()
	}
	if env, ok := strings.CutPrefix(v, "env:"); ok {
		value, found := r.lookup(env)
		if !found || value == "" {
			r.addFault(k.Section, k.Name, "the environment variable %q is not set", env)
			return
		}
		v = value
	}
	if v == "" {
		v = k.Default
	}
	if v == "" {
		if k.Required {
			r.addFault(k.Section, k.Name, "missing")
		}
		return
	}
	if err := k.set(s, v); err != nil {
		r.addFault(k.Section, k.Name, "%v", err)
	}
}

// checkAcrossKeys adds the faults that concern several keys: an operator in both lists, and an address that is used by two ports.
func (r *reader) checkAcrossKeys(s *Settings) {
	for _, v := range s.Operators.Viewers {
		for _, e := range s.Operators.Editors {
			if v.Name == e.Name {
				r.addFault("operators", "viewers", "operator %q is also an editor", v.Name)
			}
		}
	}
	ports := []struct{ section, addr string }{
		{"callers", s.Callers.Addr}, {"peers", s.Peers.Addr}, {"operators", s.Operators.Addr},
	}
	for i, a := range ports {
		for _, b := range ports[:i] {
			if a.addr != "" && a.addr == b.addr && !strings.HasSuffix(a.addr, ":0") {
				r.addFault(a.section, "addr", "%s is also the address in [%s]", a.addr, b.section)
			}
		}
	}
}
