// Command shallotctl is the operator command: it changes the configuration document and shows what is in
// force.
package main

import (
	"context"
	"os"

	"shallotrun/internal/command"
)

func main() {
	c := &command.Command{Env: os.Getenv, Out: os.Stdout, Errors: os.Stderr}
	os.Exit(c.Run(context.Background(), os.Args[1:]))
}
