package gateway

import (
	"fmt"
	"testing"

	"shallotrun/core/clock"
	"shallotrun/core/quarantine"
)

// BenchmarkPrompt measures a request by the number of its prompt's parts, while no server has ended.
func BenchmarkPrompt(b *testing.B) { benchmarkPrompt(b, 0) }

// BenchmarkPromptAfterCrashes is BenchmarkPrompt while crashes are remembered.
func BenchmarkPromptAfterCrashes(b *testing.B) { benchmarkPrompt(b, 40) }

func benchmarkPrompt(b *testing.B, crashes int) {
	for _, n := range []int{3, 17, 18, 900} {
		b.Run(fmt.Sprint(n, " parts"), func(b *testing.B) {
			backend := &fakeBackend{script: []step{{}}}
			g, s := newTestGateway(backend, clock.NewManual(1000))
			for i := range crashes {
				s.RecordCrash(clock.Time(500+i), quarantine.Crash{
					Service: "s", Server: fmt.Sprint("ended", i/4), Workspace: "w", Prompt: uint64(i), NoHead: true,
					Parts: []string{"shared-000", fmt.Sprint("rare-", i), quarantine.WholeRequest(fmt.Sprint(i))},
				})
			}
			for i := range s.servers {
				s.servers[i].Slots = 1000
			}
			parts := longPrompt(n-1, 0, "own")
			body := make([]byte, 500) // as a question to a model
			b.ReportAllocs()
			for b.Loop() {
				r := newRequest("/safe/1")
				r.Parts, r.Body = parts, body
				if _, ok := g.Serve(r).(Buffered); !ok {
					b.Fatal("not served")
				}
				backend.attempts = backend.attempts[:0]
			}
		})
	}
}
