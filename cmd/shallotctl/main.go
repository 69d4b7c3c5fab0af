// Command shallotctl is the operator command: it validates and changes the configuration document and shows which document is
// in force on the entry VMs.
package main

import (
	"context"
	"os"

	"shallotrun/internal/command"
)

func main() {
	c := &command.Command{Env: os.Getenv, Out: os.Stdout, Err: os.Stderr}
	os.Exit(c.Run(context.Background(), os.Args[1:]))
}
