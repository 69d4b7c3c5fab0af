package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/core/load"
)

// Guards against a server's prompt memory that is given away twice, by two VMs or by one, while another server has room, and against
// memory that counts as held after the request has ended.
func TestPromptMemoryIsGivenOnce(t *testing.T) {
	g, s := startGateway(t, &fakeBackend{script: []step{{events: 1, stall: true}}})
	s.table.Load().Config.Services[0].Engine.Memory = 1000
	v := load.Totals{At: clock.Clock{}.Now(), Uses: map[string]load.Usage{}}
	for _, server := range s.servers[:3] {
		v.Uses[server.ID] = load.Usage{Server: server.ID, TokensHeld: 900} // few requests, with long prompts
	}
	s.others.Store(&v)
	b := g.Backend.(*fakeBackend)
	var open []*Stream
	for range 6 { // of 200 tokens
		a, ok := g.Serve(newRequest("/stream/1")).(*Stream)
		assert.Assert(t, ok)
		open = append(open, a)
	}
	for i, a := range b.attempts {
		assert.Equal(t, a.Server.ID == "s3", i < 5, "request %d went to %s", i, a.Server.ID)
	}
	held := 0
	for _, u := range g.Usage() {
		held += u.TokensHeld
	}
	assert.Equal(t, held, 6*200)
	for _, a := range open {
		assert.NilError(t, a.Close())
	}
	for _, u := range g.Usage() {
		assert.Equal(t, u.TokensHeld, 0, u.Server)
	}
}
