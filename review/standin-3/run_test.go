package standin

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// run is one play of a case.
type run struct {
	record  *os.File
	temp    string
	began   time.Time
	trouble bool
	root    string // of the repository

	mu      sync.Mutex
	ends    []func()
	endOnce sync.Once
}

// note writes a line to the record, with the seconds since the start.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
	if len(format) > 6 && format[:6] == "result" {
		fmt.Print(line)
	}
}

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

// guard ends the run when it takes too long, or the script is told to stop.
func (r *run) guard() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
	case <-time.After(maxTime):
	}
	r.note("result: the case could not run to its end")
	r.end()
	_ = os.RemoveAll(r.temp)
	os.Exit(exitNotRun)
}

// atEnd has f called when the run ends.
func (r *run) atEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, f)
}

func (r *run) end() {
	r.endOnce.Do(r.endAll)
}

func (r *run) endAll() {
	for i := len(r.ends) - 1; i >= 0; i-- {
		r.ends[i]()
	}
}

// freeAddr returns a free port of a loopback address.
func freeAddr(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close() //nolint:errcheck // it was not used
	return ln.Addr().String(), nil
}

// daemon is one process of the project on a machine of its own address.
type daemon struct {
	name, front, ready string
	file               string // settings
	log                *os.File
	run                *run
	mu                 sync.Mutex
	cmd                *exec.Cmd
	done               chan struct{}
}

// machine is what the settings of a machine say beside its addresses.
type machine struct {
	name, zone, ip string
	memory         int
	store          string
}

// start starts the daemon on a machine with the settings that the template of the deploy file gives.
func (r *run) start(m machine) (*daemon, error) {
	d := &daemon{name: m.name, run: r, file: filepath.Join(r.temp, m.name+".ini")}
	var metrics, peers string
	for _, a := range []*string{&d.front, &d.ready, &metrics, &peers} {
		addr, err := freeAddr(m.ip)
		if err != nil {
			return nil, err
		}
		*a = addr
	}
	if m.memory == 0 {
		m.memory = 134
	}
	text := fmt.Sprintf(`[vm]
name = %s
domain = %s
memory = %d
cores = 1
power = 0.4
link = 1000.0

[listen]
callers = %s
ready = %s
metrics = %s
peers = %s

[store]
addr = %s

[bounds]
revoke = 5000
apply = 2000, 2000
grace = 8
retries = 0.9
exposed = 0.15
`, m.name, m.zone, m.memory, d.front, d.ready, metrics, peers, m.store)
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if d.log, err = os.Create(filepath.Join(r.temp, m.name+".log")); err != nil {
		return nil, err
	}
	if err := d.launch(); err != nil {
		return nil, err
	}
	r.atEnd(d.kill)
	return d, d.waitReady(20 * time.Second)
}

// launch starts the process.
func (d *daemon) launch() error {
	cmd := exec.Command(filepath.Join(d.run.root, "target", "shallotfront"))
	cmd.Dir = d.run.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SHALLOTRUN_BOOT=" + d.file, "SHALLOT_BOUNDS_EVACUATE="}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.done = cmd, done
	d.mu.Unlock()
	d.run.note("machine %s: process starts", d.name)
	go func() {
		err := cmd.Wait()
		d.run.note("machine %s: process ended: %v", d.name, err)
		close(done)
	}()
	return nil
}

// ended reports whether the process has ended.
func (d *daemon) ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

func (d *daemon) kill() {
	if !d.ended() {
		_ = d.cmd.Process.Signal(syscall.SIGKILL)
		<-d.done
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		b, _ := os.ReadFile(d.log.Name())
		_ = os.WriteFile(filepath.Join(keep, d.name+".log"), b, 0o600)
	}
}

// isReady reports whether the readiness question is answered with 200.
func (d *daemon) isReady() bool {
	resp, err := http.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			d.run.note("machine %s: ready, front %s", d.name, d.front)
			return nil
		}
	}
	return fmt.Errorf("machine %s is not ready", d.name)
}
