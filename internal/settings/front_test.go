package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

const validFront = `
[vm]
name = a-1
domain = a
memory = 134
[listen]
callers = 127.0.0.1:8000
ready = 127.0.0.1:8001
[store]
addr = 127.0.0.1:8002
[bounds]
revoke = 5000
apply = 3000, 2000
evacuate = 5000
grace = 8
retries = 0.9
`

// Guards against settings of the gateway daemon that are misread, or ignored without a fault.
func TestFront(t *testing.T) {
	f, err := ParseFront("x.ini", []byte(validFront))
	assert.NilError(t, err)
	assert.DeepEqual(t, *f, Front{
		Name: "a-1", Domain: "a", Memory: 134, Cores: 1, Callers: "127.0.0.1:8000", Ready: "127.0.0.1:8001",
		Store: "127.0.0.1:8002", Revoke: 5000, Apply: 2000, Evacuate: 5000, Grace: 8 * clock.Second, Retries: 0.9, Level: "info", Worth: 2,
	})
	f, err = ParseFront("x.ini", []byte(validFront+"[capacity]\nlearn = on\n"))
	assert.NilError(t, err)
	assert.Check(t, f.Learn)
	for _, c := range []struct{ old, new, want string }{
		{"name = a-1", "", "x.ini: [vm] name: missing"},
		{"name = a-1", "nam = a-1", "x.ini: [vm] nam: unknown key"},
		{"addr = 127.0.0.1:8002", "addr = store:1", "x.ini: [store] addr:"},
		{"grace = 8", "grace = soon", "x.ini: [bounds] grace:"},
		{"evacuate = 5000", "evacuate = 0", "x.ini: [bounds] evacuate:"},
		{"[store]", "[sore]", "x.ini: [sore]: unknown section"},
		{"grace = 8", "grace = 8\nexposed = 15", "x.ini: [bounds] exposed:"},
		{"[store]", "[capacity]\nlearn = yes\n[store]", `x.ini: [capacity] learn: "yes", want on or off`},
		{"retries = 0.9", "retries = 0.9\nretries = 1", "x.ini: [bounds] retries: the key occurs twice"},
	} {
		_, err := ParseFront("x.ini", []byte(strings.Replace(validFront, c.old, c.new, 1)))
		assert.ErrorContains(t, err, c.want)
	}
}

// Guards against a bound that a deployment names in the environment and that is not used, and against one in the file that gives way to it.
func TestFrontFromEnvironment(t *testing.T) {
	for _, c := range []struct {
		name, env, file string
		want            clock.Span
		fault           string
	}{
		{"neither", "", "", 0, ""},
		{"environment", "4000", "", 4000, ""},
		{"both", "4000", "evacuate = 5000", 5000, ""},
		{"malformed", "soon", "", 0, "[bounds] evacuate:"},
	} {
		t.Setenv("SHALLOT_BOUNDS_EVACUATE", c.env)
		f, err := ParseFront("x.ini", []byte(strings.Replace(validFront, "evacuate = 5000", c.file, 1)))
		if c.fault != "" {
			assert.ErrorContains(t, err, c.fault, c.name)
			continue
		}
		assert.NilError(t, err, c.name)
		assert.Equal(t, f.Evacuate, c.want, c.name)
	}
}
