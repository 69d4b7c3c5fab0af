package main

import (
	"flag"
	"fmt"
	"io"

	"shallotrun/internal/bench"
)

// benchCommand benchmarks the decision policies against their goals. It returns exit code 0 if all goals are met, 1 if one is
// missed, which the output marks as "short", and 2 for wrong arguments.
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
	ok, err := bench.RunPart(out, *part, seeds)
	if err != nil {
		fmt.Fprintln(errs, "bench:", err)
		return 2
	}
	if !ok {
		return 1
	}
	return 0
}
