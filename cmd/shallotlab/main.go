// Command shallotlab runs the project's runners: shallotlab bench.
package main

import (
	"fmt"
	"os"
)

func main() {
	commands := []struct {
		name string
		run  func(args []string) int
	}{
		{"bench", benchCommand},
	}
	for _, c := range commands {
		if len(os.Args) > 1 && os.Args[1] == c.name {
			os.Exit(c.run(os.Args[2:]))
		}
	}
	fmt.Fprintln(os.Stderr, "usage: shallotlab bench [flags]")
	os.Exit(2)
}
