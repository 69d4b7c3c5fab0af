package scale

import (
	"bufio"
	"bytes"
	"os"
	"strconv"
	"strings"

	"github.com/samber/oops"
)

// ticks is the number of clock ticks per second in /proc/PID/stat, which Linux fixes for user space.
const ticks = 100

// usage is the state of one process at one time.
type usage struct {
	cpu    float64 // seconds of processor time since the start
	memory float64 // resident MB that is not shared with other processes
	bytes  float64 // read and written since the start
}

// process reads the usage of a process.
func process(pid int) (usage, error) {
	var u usage
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return u, err
	}
	// The name in parentheses may hold spaces. User and system time are the 12th and 13th field after it.
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, s := range f[11:13] {
		n, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return u, oops.Wrapf(err, "processor time of process %d", pid)
		}
		u.cpu += n / ticks
	}
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return u, err
	}
	sc := bufio.NewScanner(bytes.NewReader(status))
	for sc.Scan() {
		v, ok := strings.CutPrefix(sc.Text(), "RssAnon:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseFloat(strings.Fields(v)[0], 64)
		if err != nil {
			return u, oops.Wrapf(err, "memory of process %d", pid)
		}
		u.memory = kb / 1024
	}
	if err := sc.Err(); err != nil {
		return u, err
	}
	u.bytes, err = traffic(pid)
	return u, err
}

// traffic returns the bytes that a process read and wrote by system calls since its start. An entry daemon uses no
// files while it runs, so these are its network bytes in both directions without the headers of TCP and IP, which
// other processes on the machine cannot disturb, unlike the counters of the loopback device.
func traffic(pid int) (float64, error) {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/io")
	if err != nil {
		return 0, err
	}
	sum := 0.0
	for _, line := range strings.Split(string(b), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, oops.Wrapf(err, "bytes of process %d", pid)
		}
		sum += n
	}
	return sum, nil
}
