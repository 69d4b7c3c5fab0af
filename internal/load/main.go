package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// Version is what -version prints.
var Version = "dev"

// Main runs the command and returns its exit code: 0 on success, 1 if an answer was wrong or the result could not be written, 2 on
// wrong usage.
func Main(args []string, out, errs io.Writer) int {
	fs := flag.NewFlagSet("shallotload", flag.ContinueOnError)
	fs.SetOutput(errs)
	fs.Usage = func() {
		fmt.Fprintln(errs, "usage: shallotload -targets IP:PORT,... -tenants NAME=KEY[:WEIGHT],... -models M,... [flags]")
		fs.PrintDefaults()
	}
	g := Generator{}
	version := fs.Bool("version", false, "print the version and exit")
	targets := fs.String("targets", "", "entry VMs' addresses for callers, separated by commas")
	tenants := fs.String("tenants", "", "workspaces with an API key and a weight, NAME=KEY[:WEIGHT] separated by commas")
	models := fs.String("models", "", "models, routes and cascades to ask for, separated by commas")
	ranks := fs.String("ranks", "2,5,3", "weights of urgent, normal and batch")
	domains := fs.String("homes", "", "failure domains that Idempotency-Keys name, separated by commas")
	file := fs.String("out", "", "file for the JSON result")
	asJSON := fs.Bool("json", false, "print the JSON result instead of the table")
	fs.Float64Var(&g.Rate, "rate", 50, "requests per second")
	fs.IntVar(&g.Count, "count", 500, "number of requests")
	fs.Uint64Var(&g.Seed, "seed", 1, "seed of arrivals and requests")
	fs.Float64Var(&g.Mix.StreamFraction, "streams", 0.6, "part of the chats that is streamed")
	fs.Float64Var(&g.Mix.SessionFraction, "sessions", 0.3, "part of the chats that belongs to a session")
	fs.Float64Var(&g.Mix.PlainFraction, "plain", 0.2, "part of the requests that goes to the plain service")
	fs.Float64Var(&g.Mix.KeyedFraction, "keyed", 0.5, "part of the non-idempotent calls with an Idempotency-Key")
	fs.StringVar(&g.Mix.Service, "service", "", "name of the plain service, empty for none")
	fs.IntVar(&g.Mix.PromptWords, "words", 40, "mean length of a prompt")
	fs.IntVar(&g.Mix.MaxTokens, "limit", 64, "max_tokens")
	fs.IntVar(&g.Mix.Deadline, "deadline", 0, "Shallot-Deadline in milliseconds, 0 for none")
	fs.DurationVar(&g.IdleTimeout, "stall", 15*time.Second, "time without a byte after which a connection counts as broken")
	fs.DurationVar(&g.ResumableIdleTimeout, "gap", 0, "the same within a stream and for calls with a key, 0 for -stall")
	fs.Float64Var(&g.Mix.DuplicateFraction, "twice", 0, "part of the calls with a key that is sent to two entry VMs at once")
	fs.IntVar(&g.MaxResumes, "resumes", 4, "continuations of one request at most")
	if err := fs.Parse(args); err != nil {
		return 2
	}
	if *version {
		fmt.Fprintln(out, "shallotload", Version)
		return 0
	}
	if err := parse(&g, *targets, *tenants, *models, *ranks, *domains); err != nil {
		fmt.Fprintln(errs, "shallotload:", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	res := g.Run(ctx)
	if err := writeResult(res, *file, *asJSON, out); err != nil {
		fmt.Fprintln(errs, "shallotload:", err)
		return 1
	}
	for _, r := range res.Records {
		if r.Wrong != "" {
			return 1
		}
	}
	return 0
}

// parse sets the fields of l that are given by flags with lists, and checks the flags.
func parse(g *Generator, targets, tenants, models, ranks, domains string) error {
	if targets == "" || tenants == "" || models == "" {
		return oops.Errorf("-targets, -tenants and -models are needed")
	}
	g.Targets, g.Mix.Models = strings.Split(targets, ","), strings.Split(models, ",")
	if domains != "" {
		g.Mix.KeyDomains = strings.Split(domains, ",")
	}
	for i, s := range strings.Split(tenants, ",") {
		name, rest, ok := strings.Cut(s, "=")
		key, weight, weighted := strings.Cut(rest, ":")
		t := Tenant{Name: name, Key: key, Weight: 1}
		if weighted {
			w, err := strconv.Atoi(weight)
			if err != nil {
				return oops.Wrapf(err, "-tenants, entry %d", i+1)
			}
			t.Weight = w
		}
		if !ok || key == "" {
			return oops.Errorf("-tenants, entry %d: want NAME=KEY[:WEIGHT]", i+1)
		}
		g.Tenants = append(g.Tenants, t)
	}
	if _, err := fmt.Sscanf(ranks, "%d,%d,%d", &g.Mix.RankWeights[0], &g.Mix.RankWeights[1], &g.Mix.RankWeights[2]); err != nil {
		return oops.Wrapf(err, "-ranks %q", ranks)
	}
	if g.Rate <= 0 {
		return oops.Errorf("-rate must be positive")
	}
	return nil
}

// writeResult writes the JSON result to file unless it is empty, and JSON or a table to out.
func writeResult(res Result, file string, asJSON bool, out io.Writer) error {
	b, err := json.Marshal(res)
	if err != nil {
		return err
	}
	if file != "" {
		if err := os.WriteFile(file, b, 0o644); err != nil {
			return err
		}
	}
	if asJSON {
		_, err = out.Write(append(b, '\n'))
		return err
	}
	Print(out, res.Summaries, func(Summary) bool { return true })
	return nil
}
