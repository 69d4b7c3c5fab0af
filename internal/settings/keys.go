package settings

// Key describes one key of the entry daemon's settings.
type Key struct {
	Section  string
	Name     string
	Required bool
	Default  string // used if the file does not set the key
	Help     string // one line for operators
	set      func(*Settings, string) error
}

// Row returns the row of the key in the tables of docs/settings.md.
func (k Key) Row() string {
	value := "none"
	switch {
	case k.Required:
		value = "required"
	case k.Default != "":
		value = "`" + k.Default + "`"
	}
	return "| `" + k.Name + "` | " + value + " | " + k.Help + " |"
}

// Reference lists every key of the entry daemon's settings in the order of docs/settings.md. A test compares the page with it.
var Reference = []Key{
	{"vm", "name", true, "", "name of this VM, as in the platform's list",
		func(s *Settings, v string) error { return name(&s.VM.Name, v) }},
	{"vm", "domain", true, "", "failure domain of this VM, as in the document",
		func(s *Settings, v string) error { return name(&s.VM.Domain, v) }},

	{"callers", "addr", true, "", "IP:port for callers",
		func(s *Settings, v string) error { return addr(&s.Callers.Addr, v) }},
	{"callers", "rating", false, "", "IP:port of the service that rates answers; without it cascades use their fallback",
		func(s *Settings, v string) error { return addr(&s.Callers.Rating, v) }},
	{"callers", "streams", false, "4096", "concurrent requests, queued ones included",
		func(s *Settings, v string) error { return integer(&s.Callers.Streams, v, 1, 1_000_000) }},

	{"peers", "addr", true, "", "IP:port for the other entry VMs",
		func(s *Settings, v string) error { return addr(&s.Peers.Addr, v) }},
	{"peers", "announce", false, "", "IP:port that the other entry VMs dial, if it differs from addr",
		func(s *Settings, v string) error { return addr(&s.Peers.Announce, v) }},
	{"peers", "seeds", false, "", "IP:port of entry VMs to try while the platform gives no list, separated by commas",
		func(s *Settings, v string) error { return addrs(&s.Peers.Seeds, v) }},
	{"peers", "heartbeat", false, "500", "milliseconds between two heartbeats",
		func(s *Settings, v string) error { return span(&s.Peers.Heartbeat, v, 50, 10_000) }},

	{"operators", "addr", true, "", "IP:port for health, metrics, status and the console",
		func(s *Settings, v string) error { return addr(&s.Operators.Addr, v) }},
	{"operators", "editors", false, "", "NAME:HASH of operators who may read and change, separated by commas; HASH is the hex SHA-256 of the token",
		func(s *Settings, v string) error { return operators(&s.Operators.Editors, v) }},
	{"operators", "viewers", false, "", "NAME:HASH of operators who may read, separated by commas",
		func(s *Settings, v string) error { return operators(&s.Operators.Viewers, v) }},

	{"platform", "addr", true, "", "IP:port of the platform's object API",
		func(s *Settings, v string) error { return addr(&s.Platform.Addr, v) }},
	{"platform", "token", false, "", "bearer token for the platform",
		func(s *Settings, v string) error { s.Platform.Token = v; return nil }},
	{"platform", "timeout", false, "2000", "milliseconds for one call",
		func(s *Settings, v string) error { return span(&s.Platform.Timeout, v, 50, 60_000) }},
	{"platform", "wait", false, "5000", "milliseconds that one watch waits",
		func(s *Settings, v string) error { return span(&s.Platform.Wait, v, 100, 60_000) }},
	{"platform", "poll", false, "1000", "milliseconds between two reads of the list of VMs; a list of more than 50 rows is read less often",
		func(s *Settings, v string) error { return span(&s.Platform.Poll, v, 100, 60_000) }},

	{"keys", "session", true, "", "64 hex digits, sign session and resume tokens; the same on every entry VM",
		func(s *Settings, v string) error { return secret(&s.Keys.Session, v) }},
	{"keys", "old", false, "", "64 hex digits each, separated by commas; accepted for tokens and not used for new ones",
		func(s *Settings, v string) error { return secrets(&s.Keys.Old, v) }},
	{"keys", "peer", true, "", "64 hex digits, authenticate entry VMs to each other",
		func(s *Settings, v string) error { return secret(&s.Keys.Peer, v) }},
	{"keys", "former", false, "", "64 hex digits, the previous key of the entry VMs, accepted while the fleet changes to a new one",
		func(s *Settings, v string) error { return secret(&s.Keys.Former, v) }},

	{"trace", "url", false, "", "OTLP endpoint over HTTP; without it no trace is exported",
		func(s *Settings, v string) error { return httpURL(&s.Trace.URL, v) }},
	{"trace", "sample", false, "10", "requests of 1,000 that are traced",
		func(s *Settings, v string) error { return integer(&s.Trace.Sample, v, 0, 1000) }},

	{"log", "level", false, "info", "debug, info, warn or error",
		func(s *Settings, v string) error { return choice(&s.Log.Level, v, "debug", "info", "warn", "error") }},
	{"log", "format", false, "json", "json or console",
		func(s *Settings, v string) error { return choice(&s.Log.Format, v, "json", "console") }},
}
