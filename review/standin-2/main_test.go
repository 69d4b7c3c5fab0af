// Package standin2 holds the stand-ins of the second review: a platform with its store, replicas and clients, and the cases that
// run the gateway daemon among them. It is built as a test binary (go test -c) and is no part of the project's tests.
package standin2

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// caseLimit is the time after which a case is given up as not run.
const caseLimit = 118 * time.Second

// cases are the cases by name. Each returns whether the rule was broken, or an error if the case could not run.
var cases = map[string]func(w *world) (broken bool, err error){
	"crowd":   crowdCase,
	"heads":   headsCase,
	"idle":    idleCase,
	"release": releaseCase,
	"configs": configsCase,
}

func TestMain(m *testing.M) {
	args := map[string]string{}
	for _, a := range os.Args[1:] {
		if k, v, ok := strings.Cut(a, "="); ok && !strings.HasPrefix(a, "-") {
			args[k] = v
		}
	}
	if args["case"] == "" {
		os.Exit(m.Run()) // there are no tests: the cases are started by their run.sh
	}
	os.Exit(runCase(args))
}

func runCase(args map[string]string) int {
	run, ok := cases[args["case"]]
	if !ok {
		fmt.Println("unknown case", args["case"])
		return exitNotRun
	}
	w, err := newWorld(args["dir"], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(w)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(caseLimit):
		r.err = fmt.Errorf("no result after %v", caseLimit)
	}
	switch {
	case r.err != nil:
		w.say("not run: %v", r.err)
		return exitNotRun
	case r.broken:
		w.say("the rule was broken")
		return exitBroken
	}
	w.say("the rule held")
	return exitHeld
}
