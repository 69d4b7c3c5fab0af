package feed

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/catalog"
)

// Guards against old configurations that stay in memory until the VM has used it up, as the history keeps the last batches of all kinds,
// however they came.
func TestOldConfigurationsAreNotKept(t *testing.T) {
	const versions, routes = 200, 2000
	newConfig := func(version uint64) *catalog.Config {
		c := &catalog.Config{Version: version}
		for i := range routes {
			c.Routes = append(c.Routes, catalog.Route{Name: fmt.Sprintf("route %d of %d", i, version), Host: "h", Prefix: fmt.Sprint("/", i, "/")})
		}
		return c
	}
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, c := range []struct {
		name  string
		apply func(*Feed, Batch)
	}{
		{"changes", func(f *Feed, b Batch) { f.applyChanges(Configs, b) }},
		{"lists", func(f *Feed, b Batch) { f.applyList(Configs, b) }},
	} {
		f := &Feed{}
		f.applyList(Configs, Batch{Objects: []Object{{Name: "main", Config: newConfig(1)}}, Rev: 1})
		one := heap()
		for v := uint64(2); v <= versions; v++ {
			c.apply(f, Batch{Objects: []Object{{Name: "main", Config: newConfig(v)}}, Rev: v})
		}
		grown := heap() - one
		assert.Equal(t, f.Config.Table().Config.Version, uint64(versions))
		assert.Equal(t, f.positions()[Configs].Rev, uint64(versions))
		assert.Check(t, grown < 4<<20, "%s: %d MB more after %d configurations", c.name, grown>>20, versions)
		runtime.KeepAlive(f)
	}
}
