package standin

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by number.
var cases = map[string]func(*run) error{}

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// TestMain plays the case that REVIEW_CASE names, in the folder REVIEW_DIR. With TROUBLE=0 it leaves out the disruption.
func TestMain(*testing.M) {
	play, ok := cases[os.Getenv("REVIEW_CASE")]
	if !ok {
		fmt.Println("REVIEW_CASE names no case")
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(play))
}

func playCase(play func(*run) error) (code int) {
	record, err := os.Create(filepath.Join(os.Getenv("REVIEW_DIR"), "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer record.Close() //nolint:errcheck // nothing follows
	temp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer os.RemoveAll(temp) //nolint:errcheck // nothing follows
	r := &run{record: record, temp: temp, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", root: os.Getenv("REVIEW_ROOT")}
	defer r.end()
	go r.guard()
	err = play(r)
	switch {
	case err == nil:
		r.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.note("result: %v", err)
		return exitBroken
	}
	r.note("result: the case could not run: %v", err)
	return exitNotRun
}
