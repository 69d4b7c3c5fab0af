package document

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// sound is a document in which everything has an effect.
const sound = `{"author":"ana","domains":["loka-a"],"ranks":{"normal":10,"batch":5},
"models":[{"name":"small","versions":[{"name":"1","state":"live","cost":10},{"name":"2","state":"canary","share":5,"cost":10}]},
 {"name":"large","versions":[{"name":"1","state":"live","cost":90},{"name":"0","state":"withdrawn","cost":80}]}],
"pools":[{"name":"p","models":["small","large"],"fenced":true,"slots":4}],
"services":[{"name":"tags","pool":"tags","rank":"normal","calls":[{"method":"POST","path":"/find","repeat":true},{"method":"POST","path":"/","repeat":false}]}],
"workspaces":[{"name":"gate","keys":["` + key + `"],"allow":["small","large@1"],"services":["tags"],"rank":"normal","weight":1,"routes":["fast","both"]}],
"routes":[{"name":"fast","model":"small","rank":"batch"}],
"cascades":[{"name":"both","stages":["small","large"],"quality":90,"down":"last"}]}`

// Guards against an entry without effect that the check of a configuration does not find, and against findings about entries that have one.
func TestReview(t *testing.T) {
	d, err := Parse([]byte(sound))
	assert.NilError(t, err)
	assert.Equal(t, len(Review(d)), 0, "%v", Review(d))
	for _, c := range []struct {
		name string
		edit []string // pairs of a text and its replacement
		kind FindingKind
		path string
	}{
		{"model in no pool", []string{`"models":["small","large"]`, `"models":["small"]`}, Unused, "models[1]"},
		{"model that nobody may use", []string{`"allow":["small","large@1"]`, `"allow":["small"]`}, Unused, "models[1]"},
		{"canaries with all new work", []string{`"share":5`, `"share":100`}, Contradiction, "models[0].versions[0]"},
		{"pool without new work", []string{`"pools":[`, `"pools":[{"name":"q","models":["old"],"fenced":true,"slots":1},`, `"models":[{"name":"small"`, `"models":[{"name":"old","versions":[{"name":"1","state":"draining","cost":1}]},{"name":"small"`}, Unused, "pools[0]"},
		{"service that nobody may call", []string{`"services":["tags"]`, `"services":[]`}, Unused, "services[0]"},
		{"call behind a wider one", []string{`"method":"POST","path":"/find"`, `"method":"POST","path":"/"`}, Unused, "services[0].calls[1]"},
		{"rank that nobody may ask for", []string{`"rank":"batch"`, `"rank":"urgent"`}, Contradiction, "routes[0].rank"},
		{"route that nobody may use", []string{`"routes":["fast","both"]`, `"routes":["both"]`}, Unused, "routes[0]"},
		{"cascade that nobody may use", []string{`"routes":["fast","both"]`, `"routes":["fast"]`}, Unused, "cascades[0]"},
		{"stages in the wrong order", []string{`["small","large"],"quality"`, `["large","small"],"quality"`}, Contradiction, "cascades[0].stages[1]"},
		{"quality of one stage", []string{`["small","large"],"quality"`, `["small"],"quality"`}, Contradiction, "cascades[0].quality"},
		{"withdrawn version", []string{`"model":"small"`, `"model":"large@0"`}, Unused, "routes[0].model"},
		{"workspace without a key", []string{`["` + key + `"]`, `[]`}, Unused, "workspaces[0]"},
		{"version beside its model", []string{`"large@1"]`, `"large@1","large"]`}, Unused, "workspaces[0].allow[1]"},
		{"route to what the workspace may not use", []string{`"allow":["small","large@1"]`, `"allow":["small","large@0"]`}, Contradiction, "workspaces[0].routes[1]"},
	} {
		d, err := Parse([]byte(strings.NewReplacer(c.edit...).Replace(sound)))
		assert.NilError(t, err, c.name)
		found := slices.ContainsFunc(Review(d), func(f Finding) bool { return f.Kind == c.kind && f.Path == c.path && f.Text != "" })
		assert.Check(t, found, "%s: %v", c.name, Review(d))
	}
}

// Guards against findings that name another line than the one of their value.
func TestLines(t *testing.T) {
	lines := Lines([]byte("{\"author\": \"a\\nb\",\n \"models\": [\n  {\"name\": \"m\"},\n  {\n\"name\":\"n\"}]\n,\"note\":"))
	for path, want := range map[string]int{"": 1, "author": 1, "models": 2, "models[0]": 3, "models[0].name": 3, "models[1]": 4, "models[1].name": 5} {
		assert.Equal(t, lines[path], want, path)
	}
	assert.Equal(t, Parent("models[1].versions[0].share"), "models[1].versions[0]")
	assert.Equal(t, Parent("models[1]"), "models")
	assert.Equal(t, Parent("models"), "")
}
