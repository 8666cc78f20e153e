package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/celerystep/celerystep/platform/platformtest"
)

const (
	// programPath and programCommand are the command of the deploy file.
	programPath, programCommand = "target/celerystep-instance", "run"
	// metricsPort is the port of the metrics in the deploy file.
	metricsPort = 9464
	// startTimeout bounds the wait until a process is ready.
	startTimeout = 25 * time.Second
	// internalPorts is the number of the ports between daemons.
	internalPorts = 2
)

// process is one process of the program under test.
type process struct {
	name   string
	ip     string
	ports  []int
	cmd    *exec.Cmd
	exited chan struct{}
	record *recorder
	// logPath is the file that holds what the process writes.
	logPath string
}

// startProcess writes the settings of an instance and starts it.
func startProcess(name, zone, dir, store, orders string, n names, r *recorder) (*process, error) {
	p := &process{name: name, exited: make(chan struct{}), record: r}
	if err := p.choosePorts(); err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(filepath.Join(dataFolder, "settings.json"))
	if err != nil {
		return nil, err
	}
	settings := strings.NewReplacer("NODE", name, "IP", p.ip, "ZONE", zone, "STORE", store, "ORDERS", orders,
		"PORT0", strconv.Itoa(p.ports[0]), "PORT1", strconv.Itoa(p.ports[1]), "PORT2", strconv.Itoa(p.ports[2]),
		"PORT3", strconv.Itoa(p.ports[2]+internalPorts-1)).Replace(string(raw))
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p.logPath = filepath.Join(dir, name+".log")
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command(programPath, programCommand)
	p.cmd.Env = []string{n.BootVariable + "=" + path, "PATH=" + os.Getenv("PATH")}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	r.printf("started %s as process %d at %s", name, p.cmd.Process.Pid, p.address(0))
	go func() {
		err := p.cmd.Wait()
		r.printf("%s has ended: %v", name, err)
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

// choosePorts chooses a loopback address and free ports there.
func (p *process) choosePorts() error {
	for range 20 {
		p.ip, p.ports = platformtest.LoopbackIP(), nil
		metrics, err := net.Listen("tcp4", net.JoinHostPort(p.ip, strconv.Itoa(metricsPort)))
		if err != nil {
			continue
		}
		var open []net.Listener
		for range 3 {
			l, err := net.Listen("tcp4", p.ip+":0")
			if err != nil {
				break
			}
			open = append(open, l)
			p.ports = append(p.ports, l.Addr().(*net.TCPAddr).Port)
		}
		for _, l := range append(open, metrics) {
			_ = l.Close()
		}
		if len(p.ports) == 3 {
			return nil
		}
	}
	return fmt.Errorf("no free ports for %s", p.name)
}

func (p *process) address(port int) string {
	return net.JoinHostPort(p.ip, strconv.Itoa(p.ports[port]))
}

// callers returns the address for callers.
func (p *process) callers() string { return p.address(0) }

// awaitReady waits until the process reports that it is ready.
func (p *process) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + p.address(1) + "/readiness")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			p.record.printf("%s is ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready in time", p.name)
}

func (p *process) signal(s syscall.Signal) {
	p.record.printf("signal to %s: %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// logText returns what the process has written.
func (p *process) logText() string {
	raw, _ := os.ReadFile(p.logPath)
	return string(raw)
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// residentMB returns the resident memory of the process in MB.
func (p *process) residentMB() int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(raw), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb >> 10
}

// end kills the process and waits for its end.
func (p *process) end() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}
