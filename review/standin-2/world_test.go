package standin2

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: a store, replicas, one or more machines with the gateway daemon, and clients. It writes the record.
type world struct {
	trouble bool
	store   *store
	tmp     string
	start   time.Time

	mu       sync.Mutex
	file     *os.File
	record   *bufio.Writer
	machines []*machine
	runs     map[string][]string // replicas that ran a request, by its identifier
}

func newWorld(dir string, trouble bool) (*world, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, tmp: tmp, start: time.Now(), file: f, record: bufio.NewWriter(f), runs: make(map[string][]string)}
	w.store, err = newStore()
	return w, err
}

// needDescriptors returns an error if the stand-ins themselves may not open n descriptors.
func needDescriptors(n uint64) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return err
	}
	if l.Cur < n {
		return fmt.Errorf("the stand-ins may open %d descriptors and need %d", l.Cur, n)
	}
	return nil
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f ", time.Since(w.start).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// say adds a line to the record and prints it.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// ran records that a replica began to work on a request.
func (w *world) ran(id, replica string) {
	w.mu.Lock()
	w.runs[id] = append(w.runs[id], replica)
	w.mu.Unlock()
	w.note("run %s at %s", id, replica)
}

// runsOf returns the number of replicas that ran a request.
func (w *world) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs[id])
}

func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Flush()
	w.file.Close()
	os.RemoveAll(w.tmp)
}

// limits are the limits of a machine as the platform sets them.
type limits struct {
	memoryMB int
	maxFds   int
}

// machine is a machine with one process of the gateway daemon.
type machine struct {
	w       *world
	name    string
	front   string // address for clients
	ready   string
	metrics string
	limits  limits
	cmd     *exec.Cmd

	mu      sync.Mutex
	ended   bool
	why     string // how the process ended
	endedAt time.Time
	killed  bool // by the stand-in at the end of the case
	exited  chan struct{}
}

// freePorts returns n free TCP ports on the loopback address.
func freePorts(n int) (out []int, err error) {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// settings is deploy/gateway.ini as the platform fills it in for a small deployment.
const settings = `[vm]
name = %s
domain = %s
memory = %d
cores = 1
power = 0.4
link = 1000.0

[listen]
callers = 127.0.0.1:%d
ready = 127.0.0.1:%d
metrics = 127.0.0.1:%d
peers = 127.0.0.1:%d

[store]
addr = %s

[bounds]
revoke = 5000
apply = 2000, 2000
grace = 8
retries = 0.9
exposed = 0.15
`

// startMachine starts the gateway daemon by the line of the deploy file, under the machine's limit on descriptors.
func (w *world) startMachine(name, zone string, l limits) (*machine, error) {
	p, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.tmp, name+".ini")
	text := fmt.Sprintf(settings, name, zone, l.memoryMB, p[0], p[1], p[2], p[3], w.store.addr)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(w.tmp, name+".log"))
	if err != nil {
		return nil, err
	}
	m := &machine{w: w, name: name, limits: l, exited: make(chan struct{}),
		front: fmt.Sprintf("127.0.0.1:%d", p[0]), ready: fmt.Sprintf("127.0.0.1:%d", p[1]), metrics: fmt.Sprintf("127.0.0.1:%d", p[2])}
	m.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/shallotfront", l.maxFds))
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "SHALLOTRUN_BOOT=" + file, "SHALLOT_BOUNDS_EVACUATE="}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return nil, err
	}
	w.machines = append(w.machines, m)
	w.note("machine %s starts, process %d, %d descriptors, %d MB", name, m.cmd.Process.Pid, l.maxFds, l.memoryMB)
	go m.watch(out.Name())
	if err := m.waitReady(15 * time.Second); err != nil {
		return nil, err
	}
	go m.probe()
	return m, nil
}

// probe asks once a second whether the machine is ready, as the platform does, and records changes.
func (m *machine) probe() {
	before := true
	for !m.hasEnded() {
		if now := m.isReady(); now != before {
			m.w.note("machine %s says that it is ready: %v", m.name, now)
			before = now
		}
		time.Sleep(time.Second)
	}
}

// watch waits for the end of the process, and records how it ended.
func (m *machine) watch(log string) {
	stop := make(chan struct{})
	go m.watchMemory(stop)
	err := m.cmd.Wait()
	close(stop)
	m.mu.Lock()
	m.ended, m.endedAt = true, time.Now()
	if m.why == "" {
		m.why = fmt.Sprint(err)
	}
	killed, why := m.killed, m.why
	m.mu.Unlock()
	close(m.exited)
	if killed {
		return
	}
	m.w.say("machine %s: its process ended by itself: %s", m.name, why)
	if b, err := os.ReadFile(log); err == nil {
		lines := strings.Split(strings.TrimSpace(string(b)), "\n")
		for _, l := range lines[max(len(lines)-3, 0):] {
			if strings.Contains(l, `"level":"error"`) || strings.Contains(l, "panic") || strings.Contains(l, "fatal") {
				m.w.say("its log: %s", l)
			}
		}
	}
}

// watchMemory kills the process when it exceeds the machine's memory, as the platform does. Only anonymous memory counts.
func (m *machine) watchMemory(stop chan struct{}) {
	peak := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		mb := m.memory()
		if mb >= peak+5 {
			peak = mb
			m.w.note("machine %s holds %d MB and %d descriptors", m.name, mb, m.descriptors())
		}
		if mb > m.limits.memoryMB {
			m.mu.Lock()
			m.why = fmt.Sprintf("it held %d MB of %d MB and was killed for it", mb, m.limits.memoryMB)
			m.mu.Unlock()
			_ = m.cmd.Process.Kill()
			return
		}
	}
}

// memory returns the anonymous memory of the process in MB.
func (m *machine) memory() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(l, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (m *machine) descriptors() int {
	d, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(d)
}

// waitReady waits until the machine answers the readiness probe.
func (m *machine) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if m.isReady() {
			return nil
		}
	}
	return fmt.Errorf("machine %s is not ready after %v", m.name, limit)
}

func (m *machine) isReady() bool {
	status, err := get(m.ready, "/-/ready")
	return err == nil && status == 200
}

func (m *machine) hasEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// kill ends the process at the end of the case.
func (m *machine) kill() {
	m.mu.Lock()
	m.killed = true
	ended := m.ended
	m.mu.Unlock()
	if !ended {
		_ = m.cmd.Process.Kill()
	}
	<-m.exited
}
