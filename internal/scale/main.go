package scale

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Main runs the command and returns its exit code: 0, 1 if a goal is missed or on a failure, 2 on wrong usage.
func Main(args []string, out, errs io.Writer) int {
	fs := flag.NewFlagSet("shallotlab scale", flag.ContinueOnError)
	fs.SetOutput(errs)
	sizes := fs.String("sizes", "9,30,90,270", "numbers of entry VMs, separated by commas")
	network := fs.String("net", "127.9", "first two numbers of the loopback addresses")
	window := fs.Duration("window", 10*time.Second, "length of one measurement")
	warmup := fs.Duration("warmup", 20*time.Second, "time between the start and the measurement")
	if err := fs.Parse(args); err != nil {
		return 2
	}
	s := &Scale{Out: out, Net: *network, Window: *window, Warmup: *warmup}
	for _, t := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(t))
		if err != nil || n < 3 || n > 340 {
			fmt.Fprintf(errs, "scale: %q is not a number of VMs from 3 to 340\n", t)
			return 2
		}
		s.Sizes = append(s.Sizes, n)
	}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(errs, "scale:", err)
		return 1
	}
	s.Bin = filepath.Dir(self)
	if s.Dir, err = os.MkdirTemp("", "shallot-scale-"); err != nil {
		fmt.Fprintln(errs, "scale:", err)
		return 1
	}
	defer os.RemoveAll(s.Dir)
	ok, err := s.Run()
	if err != nil {
		fmt.Fprintln(errs, "scale:", err)
	}
	if err != nil || !ok {
		return 1
	}
	return 0
}
