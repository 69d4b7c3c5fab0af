package procs

import (
	"fmt"
	"strings"
)

// settings returns the settings file (INI) of an entry daemon. Up to six other entry VMs are its seeds.
func (f *Fleet) settings(v *VM) string {
	var seeds []string
	for _, o := range f.VMs {
		if o != v && len(seeds) < 6 {
			seeds = append(seeds, o.Peers)
		}
	}
	return fmt.Sprintf(`[vm]
name = %s
domain = %s
[callers]
addr = %s
rating = %s
[peers]
addr = %s
announce = %s
seeds = %s
heartbeat = %d
[operators]
addr = %s
[platform]
addr = %s
poll = 500
[keys]
session = %s
peer = %s
`, v.Name, v.Domain, v.Callers, hostPort(f.Net+".0.11", platformPort), v.listen, v.Peers, strings.Join(seeds, ", "), f.heartbeatInterval(),
		v.Status, f.platformAddr(), f.keys[0], f.keys[1])
}

// heartbeatInterval returns the time between heartbeats in milliseconds.
func (f *Fleet) heartbeatInterval() int {
	if f.HeartbeatInterval == 0 {
		return 250
	}
	return f.HeartbeatInterval
}

// relayPaths returns the relay's paths as a flag value. The group of a path is the failure domain of its target, or "platform".
func (f *Fleet) relayPaths() string {
	var ps []string
	for _, v := range f.VMs {
		ps = append(ps, v.Domain+"="+v.Peers+">"+v.listen)
	}
	for _, b := range f.Backends {
		ps = append(ps, b.Domain+"="+b.Addr+">"+b.listen)
	}
	ps = append(ps, "platform="+f.platformAddr()+">"+f.platformListen())
	return strings.Join(ps, ",")
}

// relaySources returns, as a flag value of the relay, the address prefix of each failure domain.
func (f *Fleet) relaySources() string {
	var ps []string
	for d, domain := range f.domains() {
		ps = append(ps, fmt.Sprintf("%s=%s.%d.", domain, f.Net, d+1))
	}
	return strings.Join(ps, ",")
}
