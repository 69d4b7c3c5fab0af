// Package review holds the stand-ins of the review's cases: clients, replicas and the platform's store, by the users' pages. It is
// built as a test binary, as names of the platform may stand only in test files outside the package platform.
package review

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit bounds a case; its scripts may take 120 s.
const timeLimit = 110 * time.Second

var (
	caseName   = flag.String("case", "", "name of the case")
	recordFile = flag.String("record", "record.txt", "file for what was sent, answered and run")
)

// cases are the cases by name. Each returns a description of each breach of its rule.
var cases = map[string]func(w *world) (breaches []string){}

func TestMain(m *testing.M) {
	flag.Parse()
	run := cases[*caseName]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *caseName)
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run))
}

// runCase runs one case and ends all processes that it started.
func runCase(run func(w *world) []string) (code int) {
	w, err := newWorld(*recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				f, ok := p.(notRun)
				if !ok {
					panic(p)
				}
				w.log("the case could not run: %v", f.err)
				done <- exitNotRun
			}
		}()
		breaches := run(w)
		for _, b := range breaches {
			w.log("BROKEN: %s", b)
		}
		w.log("%d breaches", len(breaches))
		if len(breaches) > 0 {
			done <- exitBroken
			return
		}
		done <- exitHeld
	}()
	select {
	case code = <-done:
	case <-stop:
		w.log("the case was stopped")
		code = exitNotRun
	case <-time.After(timeLimit):
		w.log("the case took too long")
		code = exitNotRun
	}
	w.end()
	fmt.Printf("exit %d, see %s\n", code, *recordFile)
	return code
}

// notRun is the panic that ends a case which could not run.
type notRun struct{ err error }

// must ends the case as one that could not run.
func must(err error) {
	if err != nil {
		panic(notRun{err})
	}
}
