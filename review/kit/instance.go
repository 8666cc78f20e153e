package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/celerystep/celerystep/internal/netfault"
	"github.com/celerystep/celerystep/platform/platformtest"
)

const (
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay = 150 * time.Millisecond
	program      = "target/celerystep-instance"
	callerPort   = 8465
	readyPort    = 8460
)

// instance is a machine on which the program of the deploy file runs. It is started again when it exits.
type instance struct {
	name, zone, ip string
	wire           *wireNames
	record         *record
	// store relays the calls to the store.
	store        *netfault.Relay
	settingsPath string
	logPath      string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	closed   bool
	rotation bool
	misses   int
	// exits holds the ends of processes that no signal explains.
	exits []exit
}

// exit is the end of a process.
type exit struct {
	at  time.Time
	err error
}

func newInstance(wire *wireNames, rec *record, dir, name, zone, store, cloud string) (*instance, error) {
	in := &instance{
		name: name, zone: zone, ip: platformtest.LoopbackIP(), wire: wire, record: rec,
		settingsPath: filepath.Join(dir, name+".json"), logPath: filepath.Join(dir, name+".log"),
	}
	var err error
	if in.store, err = netfault.Start(store); err != nil {
		return nil, err
	}
	platform := with(wire.Settings["platform"].(map[string]any), map[string]any{"address": in.store.Addr()})
	api := with(wire.Settings[wire.CloudKey].(map[string]any), map[string]any{"address": cloud})
	listen := map[string]any{"frontend": in.frontend(), "ready": in.ready()}
	settings := with(wire.Settings, map[string]any{
		"node": name, "zone": zone, "ip": in.ip, "platform": platform, wire.CloudKey: api, wire.ListenKey: listen,
	})
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	return in, os.WriteFile(in.settingsPath, raw, 0o600)
}

func (in *instance) frontend() string { return fmt.Sprintf("%s:%d", in.ip, callerPort) }
func (in *instance) ready() string    { return fmt.Sprintf("%s:%d", in.ip, readyPort) }

// start starts the program, and again after each exit.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.closed {
		return nil
	}
	log, err := os.OpenFile(in.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "run")
	cmd.Env = []string{in.wire.SettingsVariable + "=" + in.settingsPath, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.cmd, in.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		in.mu.Lock()
		if !in.closed {
			in.exits = append(in.exits, exit{time.Now(), err})
			in.record.say("%s: its process has ended by itself: %v", in.name, err)
		}
		in.mu.Unlock()
		close(exited)
		time.Sleep(restartDelay)
		_ = in.start()
	}()
	return nil
}

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	_ = in.cmd.Process.Signal(s)
}

// freeze stops the process for a time.
func (in *instance) freeze(d time.Duration) {
	in.signal(syscall.SIGSTOP)
	time.Sleep(d)
	in.signal(syscall.SIGCONT)
}

// close ends the process for good.
func (in *instance) close() {
	in.mu.Lock()
	in.closed = true
	exited := in.exited
	if in.cmd != nil {
		_ = in.cmd.Process.Kill()
	}
	in.mu.Unlock()
	if exited != nil {
		<-exited
	}
	_ = in.store.Close()
}

// probe asks for readiness once a second, as the platform's balancer does, until stop is closed.
func (in *instance) probe(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		ok := false
		if resp, err := client.Get("http://" + in.ready() + in.wire.ReadyPath); err == nil {
			ok = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
		in.mu.Lock()
		before := in.rotation
		if ok {
			in.misses, in.rotation = 0, true
		} else if in.misses++; in.misses >= 2 {
			in.rotation = false
		}
		if in.rotation != before {
			in.record.add("%s: in rotation: %t", in.name, in.rotation)
		}
		in.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (in *instance) inRotation() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.rotation
}
