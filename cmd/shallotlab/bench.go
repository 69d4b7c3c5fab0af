package main

import (
	"flag"
	"fmt"
	"io"

	"shallotrun/internal/bench"
)

// benchCommand measures the decision policies against their goals. It returns 1 when a goal is not reached, which is
// then also printed as "short", and 2 for wrong arguments.
func benchCommand(args []string, out, errs io.Writer) int {
	fs := flag.NewFlagSet("bench", flag.ContinueOnError)
	seed := fs.Uint64("seed", 1, "first seed")
	runs := fs.Int("runs", 5, "number of seeds")
	part := fs.String("part", "", "only this part")
	if err := fs.Parse(args); err != nil {
		return 2
	}
	if *runs < 1 || fs.NArg() > 0 {
		fmt.Fprintln(errs, "bench: want -runs of at least 1 and no further arguments")
		return 2
	}
	var seeds []uint64
	for i := range *runs {
		seeds = append(seeds, *seed+uint64(i))
	}
	ok, err := bench.Only(out, *part, seeds)
	if err != nil {
		fmt.Fprintln(errs, "bench:", err)
		return 2
	}
	if !ok {
		return 1
	}
	return 0
}
