package review

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the VMs, the store and the replicas. Each has a loopback address of its own, so ports can be the same everywhere.
const (
	portFront   = 8227
	portReady   = 8220
	portRange   = 7340
	portStore   = 8223
	portReplica = 8120
)

// world is a small deployment: VMs as processes, and stand-ins for the store, the replicas and the clients.
type world struct {
	trouble bool
	store   *store
	vms     []*vm

	began  time.Time
	dir    string
	mu     sync.Mutex
	record *os.File
}

// vm is one process of the router with its addresses.
type vm struct {
	name, zone, front, ready string
	cmd                      *exec.Cmd
}

func newWorld(record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, began: time.Now(), dir: dir, record: f}
	w.log("disruption: %v", trouble)
	return w, nil
}

// log writes a line with the time since the start to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// ip returns a loopback address that other runs at the same time hardly use.
func ip(n int) string {
	p := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+p>>8&0x3f, p&0xff, n)
}

func addr(n, port int) string { return fmt.Sprintf("%s:%d", ip(n), port) }

// end kills the processes and closes the record.
func (w *world) end() {
	for _, v := range w.vms {
		v.kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

func (v *vm) kill() {
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Kill()
		_ = v.cmd.Wait()
		v.cmd = nil
	}
}

var zones = []string{"mobile-a", "biloxi-b", "pensacola-c"}

// startVMs starts VMs in turn in the three zones, and waits until all are ready.
func (w *world) startVMs(n int) {
	for i := range n {
		v := &vm{zone: zones[i%len(zones)], front: addr(10+i, portFront), ready: addr(10+i, portReady)}
		v.name = fmt.Sprintf("front-%s-%d", v.zone, i/len(zones)+1)
		w.vms = append(w.vms, v)
		w.startVM(i)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(w.vms) {
			break
		}
		if time.Now().After(end) {
			must(fmt.Errorf("%d of %d VMs became ready", ready, len(w.vms)))
		}
	}
	w.log("%d VMs are ready", n)
}

// startVM starts the process of a VM with the command and the settings template of the deploy file.
func (w *world) startVM(i int) {
	v := w.vms[i]
	deploy, err := os.ReadFile("deploy/system.toml")
	must(err)
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if m == nil {
		must(fmt.Errorf("deploy/system.toml has no command"))
	}
	template, err := os.ReadFile("deploy/gateway.ini")
	must(err)
	file := filepath.Join(w.dir, v.name+".ini")
	must(os.WriteFile(file, []byte(w.settings(string(template), i)), 0o600))
	words := strings.Fields(string(m[1]))
	v.cmd = exec.Command(words[0], words[1:]...)
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SHALLOTRUN_BOOT=" + file}
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := os.Create(filepath.Join(w.dir, v.name+".log"))
	must(err)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		out, err = os.Create(filepath.Join(keep, v.name+".log"))
		must(err)
	}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	must(v.cmd.Start())
	w.log("started %s", v.name)
}

// settings fills in the template of the deploy file with the values of a small deployment of the users' sheet.
func (w *world) settings(template string, i int) string {
	v := w.vms[i]
	values := map[string]string{
		"Node": v.name, "Zone": v.zone, "Ip": ip(10 + i), "Limits.MemoryMb": "134", "Limits.Cores": "1", "Limits.CpuShare": "0.4",
		"Limits.LinkMbps": "1000.0", "Listen.Front": v.front, "Listen.Ready": v.ready, "PortRange.0": fmt.Sprint(portRange),
		"PortRange.1": fmt.Sprint(portRange + 15), "Platform.Address": w.store.addr, "Bounds.RevokeMs": "5000",
		"Bounds.ConfigApplyMs": "2000", "Bounds.DrainMs": "2000", "Bounds.GraceS": "8", "Bounds.RetryBudgetRatio": "0.9",
		"Bounds.ExposureShare": "0.15",
	}
	template = strings.NewReplacer("{{#Bounds.StrictRevoke}}", "", "{{/Bounds.StrictRevoke}}", "").Replace(template)
	return regexp.MustCompile(`{{([A-Za-z0-9.]+)}}`).ReplaceAllStringFunc(template, func(p string) string {
		value, ok := values[strings.Trim(p, "{}")]
		if !ok {
			must(fmt.Errorf("the template has the placeholder %s", p))
		}
		return value
	})
}

// isReady asks a VM as the platform does.
func (v *vm) isReady() bool {
	c, err := net.DialTimeout("tcp", v.ready, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /-/ready HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", v.ready)
	b := make([]byte, 12)
	n, _ := c.Read(b)
	return string(b[:n]) == "HTTP/1.1 200"
}
