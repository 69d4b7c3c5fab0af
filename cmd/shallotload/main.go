// Command shallotload is the load generator: it sends requests to entry VMs and checks each answer.
package main

import (
	"os"

	"shallotrun/internal/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
