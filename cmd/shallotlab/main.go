// Command shallotlab runs the demonstration, the proofs of the project's guarantees, and the benchmarks of the policies.
package main

import (
	"fmt"
	"io"
	"os"

	"shallotrun/internal/demo"
	"shallotrun/internal/proof"
)

var commands = []struct {
	name string
	run  func(args []string, out, errs io.Writer) int
}{
	{"demo", demo.Main},
	{"proof", proof.Main},
	{"bench", benchCommand},
}

func main() {
	if len(os.Args) > 1 {
		for _, c := range commands {
			if c.name == os.Args[1] {
				os.Exit(c.run(os.Args[2:], os.Stdout, os.Stderr))
			}
		}
	}
	fmt.Fprintln(os.Stderr, "usage: shallotlab COMMAND [flags]; commands:")
	for _, c := range commands {
		fmt.Fprintln(os.Stderr, " ", c.name)
	}
	os.Exit(2)
}
