// Command standin runs one stand-in for a system that shallotrun works with.
package main

import (
	"os"

	"shallotrun/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) }
