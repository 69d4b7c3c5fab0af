package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/samber/oops"

	"shallotrun/core/document"
	"shallotrun/internal/config"
	"shallotrun/io/operator"
	"shallotrun/io/platform"
)

// Exit codes.
const (
	ExitDone        = 0 // done; diff found no difference
	ExitFailed      = 1 // a failure without a more specific code
	ExitUsage       = 2 // wrong arguments
	ExitInvalid     = 3 // the document is not valid; nothing was changed
	ExitConflict    = 4 // another operator changed the document first
	ExitUnavailable = 5 // the platform or an entry VM did not answer; nothing was changed
	ExitUnknown     = 6 // a response was lost; whether the change took effect is not known
	ExitDifferent   = 7 // diff found differences
	ExitAttention   = 8 // status found a VM that lags or did not answer, a halted version or a refused document
)

const usage = `usage: shallotctl [flags] COMMAND [arguments]

commands that change nothing
  validate FILE                    report every fault of a document
  check FILE                       report faults with their lines, entries that never match, limits that contradict each other and, with
                                   -platform, what differs from the document in force
  show                             print the document in the platform
  diff FILE                        show what apply would change
  status                           show what is in force on the entry VMs

commands that change the document
  apply FILE                       replace the document if nobody else changed it
  withdraw MODEL@VERSION           stop new work on a version, sessions included
  drain MODEL@VERSION              stop new sessions and work without a session on a version
  rollout MODEL@VERSION PERCENT    give a version a share of new work; 100 makes it the live one

exit codes
  0 done  1 failed  2 usage  3 invalid document  4 conflict  5 not reachable, nothing changed
  6 outcome unknown  7 diff found differences  8 status found something to look at
  check: 0 nothing found  1 faults or findings  2 not checked

flags
`

// Command is one run of shallotctl. Env returns the value of an environment variable, "" if it is not set.
type Command struct {
	Env func(string) string
	Out io.Writer
	Err io.Writer

	platform      string
	platformToken string
	author        string
	note          string
	entries       string
	operatorToken string
	promote       string
	from          string
	base          uint64
	json          bool
	timeout       time.Duration

	writer *config.Writer
	args   []string
}

// usageError is an error in the arguments.
type usageError struct{ text string }

// exitStatus ends the command with an exit code after its output was printed; no error text follows.
type exitStatus struct{ code int }

// Run executes the command in args, which do not include the program's name, and returns the exit code.
func (c *Command) Run(ctx context.Context, args []string) int {
	fs := c.flags()
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitDone
		}
		return ExitUsage
	}
	c.args = fs.Args()
	// Flags may also follow the command and its arguments.
	if len(c.args) > 1 {
		rest := c.args
		c.args = nil
		for len(rest) > 0 {
			c.args = append(c.args, rest[0])
			if err := fs.Parse(rest[1:]); err != nil {
				return ExitUsage
			}
			rest = fs.Args()
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.writer = &config.Writer{Client: &platform.Client{Addr: c.platform, Token: c.platformToken}}
	return c.finish(c.run(ctx, fs))
}

func (c *Command) flags() *flag.FlagSet {
	fs := flag.NewFlagSet("shallotctl", flag.ContinueOnError)
	fs.SetOutput(c.Err)
	fs.Usage = func() {
		_, _ = io.WriteString(c.Err, usage)
		fs.PrintDefaults()
	}
	fs.StringVar(&c.platform, "platform", c.Env("SHALLOT_PLATFORM"), "IP:port of the platform, or SHALLOT_PLATFORM")
	fs.StringVar(&c.author, "author", c.Env("SHALLOT_AUTHOR"), "who makes the change, or SHALLOT_AUTHOR")
	fs.StringVar(&c.note, "note", "", "why the change is made")
	fs.StringVar(&c.entries, "entries", c.Env("SHALLOT_ENTRIES"), "IP:port of operator ports for status, separated by commas, or SHALLOT_ENTRIES")
	fs.StringVar(&c.promote, "promote", "", "withdraw and drain: version that becomes live in its place")
	fs.StringVar(&c.from, "from", "", "apply: file that FILE was edited from; a document that differs from it is a conflict")
	fs.Uint64Var(&c.base, "base", 0, "apply: revision that FILE was edited from; another revision is a conflict")
	fs.BoolVar(&c.json, "json", false, "print JSON")
	fs.DurationVar(&c.timeout, "timeout", 30*time.Second, "time for the whole command")
	// Tokens come from the environment only: arguments are visible to every user of a machine.
	c.platformToken, c.operatorToken = c.Env("SHALLOT_PLATFORM_TOKEN"), c.Env("SHALLOT_TOKEN")
	return fs
}

func (c *Command) run(ctx context.Context, fs *flag.FlagSet) error {
	if len(c.args) == 0 {
		fs.Usage()
		return usageError{"a command is missing"}
	}
	name := c.args[0]
	want := map[string]int{"validate": 1, "check": 1, "apply": 1, "show": 0, "diff": 1, "withdraw": 1, "drain": 1, "rollout": 2, "status": 0}
	n, ok := want[name]
	if !ok {
		return usageError{fmt.Sprintf("unknown command %q, see shallotctl -help", name)}
	}
	if len(c.args)-1 != n {
		return usageError{fmt.Sprintf("%s takes %d argument(s), got %d", name, n, len(c.args)-1)}
	}
	if name != "validate" && name != "check" && name != "status" && c.platform == "" {
		return usageError{"the platform's address is missing: -platform or SHALLOT_PLATFORM"}
	}
	switch name {
	case "validate":
		return c.validate()
	case "check":
		return c.check(ctx)
	case "show":
		return c.show(ctx)
	case "diff":
		return c.diff(ctx)
	case "status":
		return c.status(ctx)
	}
	if c.author == "" {
		return usageError{"the author is missing: -author or SHALLOT_AUTHOR"}
	}
	if name == "apply" {
		return c.apply(ctx)
	}
	return c.edit(ctx, name)
}

// finish prints the error, if any, and returns the exit code.
func (c *Command) finish(err error) int {
	if err == nil {
		return ExitDone
	}
	var e exitStatus
	if errors.As(err, &e) {
		return e.code
	}
	code := exitCode(err)
	if c.json {
		c.printJSON(outcome{Outcome: outcomeNames[code], Error: err.Error(), Faults: faults(err)})
	} else {
		_, _ = fmt.Fprintln(c.Err, "shallotctl: "+err.Error())
	}
	return code
}

func exitCode(err error) int {
	var (
		use            usageError
		invalid        document.Faults
		conflict       *document.Conflict
		outcomeUnknown *config.OutcomeUnknown
		unavailable    *platform.Unavailable
		limited        *platform.RateLimited
	)
	switch {
	case errors.As(err, &use):
		return ExitUsage
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &outcomeUnknown):
		return ExitUnknown
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unavailable), errors.As(err, &limited):
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

func faults(err error) []document.Fault {
	var f document.Faults
	if errors.As(err, &f) {
		return f
	}
	return nil
}

// Error returns the text of the usage error.
func (u usageError) Error() string { return u.text }

// Error returns a text with the exit code.
func (e exitStatus) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// addrs returns the addresses of the operator ports in -entries.
func (c *Command) addrs() []string {
	var out []string
	for s := range strings.SplitSeq(c.entries, ",") {
		if s = strings.TrimSpace(s); s != "" {
			out = append(out, s)
		}
	}
	return out
}

func (c *Command) login() operator.Login {
	return operator.Login{Name: c.author, Token: c.operatorToken}
}

// splitRef parses MODEL@VERSION.
func splitRef(s string) (model, version string, err error) {
	model, version, ok := document.SplitRef(s)
	if !ok || model == "" || version == "" {
		return "", "", usageError{fmt.Sprintf("%q, want MODEL@VERSION", s)}
	}
	return model, version, nil
}

// wrap prefixes an error with the operation or file that failed.
func wrap(err error, doing string) error { return oops.Wrapf(err, "%s", doing) }
