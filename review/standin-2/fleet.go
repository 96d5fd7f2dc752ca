package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	coreMachines = 3
	front        = coreMachines // number of the front machine
	frontMemory  = 284          // memory_mb of a process on it
)

// The bounds of the small deployment.
const (
	configTime  = 2 * time.Second
	contactTime = 3 * time.Second
	drainTime   = 3 * time.Second
	quotaWindow = 8 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 110000.0
)

// process is a program of the project that runs.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// fleet is a small deployment: three core machines, and one front machine with an agent and a router.
type fleet struct {
	*network
	folder    string
	platform  string // address of the platform's list
	mu        sync.Mutex
	processes []*process
	stopping  bool
	exits     []string // processes that ended by themselves
}

// started are all processes that were started.
var started struct {
	mu        sync.Mutex
	processes []*process
}

// killStarted ends all processes.
func killStarted() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		_ = p.command.Process.Kill()
	}
}

func startFleet(attempt int, platform string) (*fleet, error) {
	n, err := newNetwork(attempt, coreMachines+1)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{network: n, folder: folder, platform: platform}
	for machine := range coreMachines + 1 {
		if err := f.writeSettings(machine); err != nil {
			return f, err
		}
	}
	for machine := range coreMachines {
		if err := f.start(machine, "target/ivycontrol", "serve"); err != nil {
			return f, err
		}
	}
	if err := f.start(front, "target/ivyfleet", "agent"); err != nil {
		return f, err
	}
	return f, f.start(front, "target/ivyfleet", "router")
}

func (f *fleet) settingsPath(machine int) string {
	return filepath.Join(f.folder, fmt.Sprintf("settings-%d.toml", machine))
}

// writeSettings writes a settings file like that of the small site, beside the old one, and renames it.
func (f *fleet) writeSettings(machine int) error {
	var b strings.Builder
	line := func(format string, values ...any) { fmt.Fprintf(&b, format+"\n", values...) }
	class := "core"
	if machine == front {
		class = "front"
	}
	line("node_name = \"%s-zone%d-1\"\nmachine_class = %q\nserves = [%q]", class, machine, class, class)
	line("ip = %q\nzone = \"zone%d\"\nregion = \"region\"", f.ip(machine), machine)
	line("port_range = [%d,%d]", f.port(machine), f.port(machine)+portsPerMachine-1)
	line("seeds = [%q,%q,%q]\nbootstrap = true", f.address(0, controlPort), f.address(1, controlPort), f.address(2, controlPort))
	line("counts_for_quorum = %v\ndiscovery = \"cloud_api\"\nentry = \"vip\"\nheartbeat_ms = 1200", machine != front)
	line(`guarantees = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota"]`)
	if machine == front {
		line("[listen]\nfront = %q\nready = %q", f.address(front, frontPort), f.address(front, readyPort))
		line("[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = %d\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0", frontMemory)
	} else {
		line("data_dir = %q", filepath.Join(f.folder, fmt.Sprintf("data-%d", machine)))
		line("[listen]\ncontrol = %q", f.address(machine, controlPort))
		line("[limits]\ncpu_share = 0.96\ncores = 1\nmemory_mb = 280\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128")
	}
	line("[tolerate]\nmachines = 1\nzones = 0\nregions = 0")
	line("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = %d\nack_ms = 4000\nsync_s = 4\ndrain_ms = %d", contactTime.Milliseconds(), drainTime.Milliseconds())
	line("grace_s = 8\nloss_slack_ms = 200\nconfig_ms = %d\nrollback_slack_ms = 250\nstretch_max_ms = 5000", configTime.Milliseconds())
	line("revocation = false\nrevoke_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 56")
	line("quota_window_s = %v\nquota_overage = %v\nquota_slack = %v", quotaWindow.Seconds(), quotaOver, quotaSlack)
	line("recovery_s = 12\npass_ms = 120\nagain_s = 8.1")
	line("[cloud]\naddress = %q\nrate_per_s = 44.0\nduties = []\nlag_ms = 800", f.platform)
	path := f.settingsPath(machine)
	if err := os.WriteFile(path+".new", []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (f *fleet) start(machine int, program string, role string) error {
	log, err := os.Create(filepath.Join(f.folder, fmt.Sprintf("%s-%d.log", role, machine)))
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, role)
	command.Env = append(os.Environ(), "IVYBANK_CONFIG="+f.settingsPath(machine), "GOMAXPROCS=1") // the machines have one core
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{command, make(chan struct{})}
	started.mu.Lock()
	started.processes = append(started.processes, p)
	started.mu.Unlock()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	go func() {
		state := command.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.stopping {
			f.exits = append(f.exits, fmt.Sprintf("%s on machine %d: %v", role, machine, state))
		}
		close(p.ended)
	}()
	return nil
}

// ownExits returns the processes that ended by themselves.
func (f *fleet) ownExits() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string{}, f.exits...)
}

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopping = true
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Kill()
		<-p.ended
	}
	f.network.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

var errTimeout = errors.New("timed out")

func await(limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return errTimeout
}

// status is the part of a control process's status that the stand-ins use to choose what is cut.
type status struct {
	Leading bool `json:"leading"`
	Shards  []struct {
		Number uint32 `json:"number"`
		Owned  bool   `json:"owned"`
	} `json:"shards"`
}

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (f *fleet) status(machine int) (s status, err error) {
	answer, err := operatorClient.Get("http://" + f.address(machine, controlPort) + "/v1/Status")
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

// replaceConfig is the operator: it sends a configuration to one machine after the other until it has a clear answer,
// and returns when that came.
func (f *fleet) replaceConfig(base int, body []byte) (status int, at time.Time, err error) {
	for turn := range 200 {
		address := f.address(turn%coreMachines, controlPort)
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/Config.Replace", bytes.NewReader(body))
		if err != nil {
			return 0, at, err
		}
		request.Header.Set("Base-Version", strconv.Itoa(base))
		request.Header.Set("Content-Type", "application/json")
		answer, err := operatorClient.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			if answer.StatusCode < 500 {
				return answer.StatusCode, time.Now(), nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, at, errTimeout
}

// awaitReady waits until the front machine says that it is ready.
func (f *fleet) awaitReady() error {
	return await(20*time.Second, func() bool {
		answer, err := operatorClient.Get("http://" + f.address(front, readyPort) + "/v1/ready")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
}
