// Command shallotload sends requests to entry VMs and checks every answer.
package main

import (
	"os"

	"shallotrun/internal/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
