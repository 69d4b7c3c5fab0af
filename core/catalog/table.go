package catalog

import (
	"strings"
	"sync/atomic"
)

// Table is the index of one configuration.
type Table struct {
	Config Config

	hosts    map[string]map[string]*Route // by host and prefix
	keys     map[string]*Workspace
	services map[string]*Service
}

// NewTable indexes a configuration. Of several routes with the same host and prefix it uses the first.
func NewTable(c Config) *Table {
	t := &Table{
		Config: c, hosts: make(map[string]map[string]*Route), keys: make(map[string]*Workspace),
		services: make(map[string]*Service),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = make(map[string]*Route)
		}
		if t.hosts[r.Host][r.Prefix] == nil {
			t.hosts[r.Host][r.Prefix] = r
		}
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			t.keys[k] = w
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Route returns the route of a host whose prefix is the longest one of the path, nil for none. The host may have a port; the
// path must not have a query.
func (t *Table) Route(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	routes := t.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := routes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that a key belongs to, nil for none.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// Service returns a service, nil if the configuration has none of that name.
func (t *Table) Service(name string) *Service { return t.services[name] }

// RequiresKeys reports whether the configuration has workspaces; without them no request needs a key.
func (t *Table) RequiresKeys() bool { return len(t.Config.Workspaces) > 0 }

// Current holds the table in force. The zero value holds none. It is safe for concurrent use.
type Current struct{ table atomic.Pointer[Table] }

// Table returns the table in force, nil before the first one.
func (c *Current) Table() *Table { return c.table.Load() }

// Update puts a configuration in force if its version is higher than the one in force, and reports whether it did. An older
// read that arrives late must not restore an old route or a revoked key.
func (c *Current) Update(cfg Config) bool {
	t := NewTable(cfg)
	for {
		old := c.table.Load()
		if old != nil && cfg.Version <= old.Config.Version {
			return false
		}
		if c.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
