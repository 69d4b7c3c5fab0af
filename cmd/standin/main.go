// Command standin runs a stand-in (a test double) for one of the external systems that shallotrun uses.
package main

import (
	"os"

	"shallotrun/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) }
