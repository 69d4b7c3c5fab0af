package proof

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"sync"
)

// Main runs the command and returns its exit code: 0, 1 if a guarantee failed, 2 on wrong usage.
func Main(args []string, out, errs io.Writer) int {
	fs := flag.NewFlagSet("shallotlab proof", flag.ContinueOnError)
	fs.SetOutput(errs)
	seed := fs.Uint64("seed", 1, "first seed")
	runs := fs.Int("runs", 1, "number of seeds")
	only := fs.String("only", "", "run only the faults with these names, separated by commas")
	parallel := fs.Int("parallel", 3, "cases at once, each on addresses of its own")
	net := fs.Int("net", 64, "second number of the first loopback addresses")
	if err := fs.Parse(args); err != nil {
		return 2
	}
	bin, err := binaryDir()
	if err != nil {
		fmt.Fprintln(errs, "proof:", err)
		return 1
	}
	type job struct {
		testCase
		seed uint64
	}
	var jobs []job
	for i := range *runs {
		for _, c := range cases {
			if *only == "" || strings.Contains(","+*only+",", ","+c.name+",") {
				jobs = append(jobs, job{c, *seed + uint64(i)})
			}
		}
	}
	queue := make(chan job)
	var wg sync.WaitGroup
	var mu sync.Mutex
	held, failed := 0, 0
	for i := range *parallel {
		wg.Go(func() {
			for j := range queue {
				r := run(j.testCase, j.seed, fmt.Sprintf("127.%d", *net+i), bin)
				mu.Lock()
				h, f := r.print(out)
				held, failed = held+h, failed+f
				mu.Unlock()
			}
		})
	}
	for _, j := range jobs {
		queue <- j
	}
	close(queue)
	wg.Wait()
	fmt.Fprintf(out, "proof: %d held, %d failed\n", held, failed)
	if failed > 0 || len(jobs) == 0 {
		return 1
	}
	return 0
}
