package procs

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// Proc is a process that the runner started.
type Proc struct {
	Name string
	Log  string // file with its output

	cmd  *exec.Cmd
	done chan struct{}
	code int
}

// start runs a program with env added to its environment and appends its output to a log file in dir. The process is killed when
// the runner ends.
func start(dir, name, program string, env []string, args ...string) (*Proc, error) {
	p := &Proc{Name: name, Log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	f, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, oops.Wrapf(err, "%s", name)
	}
	go func() {
		p.cmd.Wait() // the error adds nothing to the exit code
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal unless the process has ended.
func (p *Proc) Signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(s)
	}
}

// Exited waits up to d for the end of the process and returns its exit code, or -1 if a signal ended it. ok is false if the process
// still runs.
func (p *Proc) Exited(d time.Duration) (code int, ok bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-p.done:
		return p.code, true
	case <-t.C:
	}
	select { // both channels may be ready, and the end of the process takes precedence
	case <-p.done:
		return p.code, true
	default:
		return 0, false
	}
}

// stop ends the process with SIGTERM, and kills it if it has not ended after d. SIGCONT comes first in case the process is frozen.
func (p *Proc) stop(d time.Duration) {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	if _, ok := p.Exited(d); ok {
		return
	}
	p.Signal(syscall.SIGKILL)
	p.Exited(5 * time.Second)
}
