package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// role is the role that a process has in the fleet.
type role string

const (
	controlRole role = "control"
	agentRole   role = "agent"
	routerRole  role = "router"
)

// machine is one machine of the fleet: a control process, or an agent and a router.
type machine struct {
	number    int
	control   bool
	removed   bool // permanently
	folder    string
	bootstrap bool
	options   options
	processes map[role]*process
}

// options are the settings that differ from fleet to fleet.
type options struct {
	tolerate     int  // machines that may fail at once
	coordination bool // applications may ask for locks, numbers and keys
}

func (m *machine) String() string {
	if m.control {
		return fmt.Sprint("core-", m.number)
	}
	return fmt.Sprint("front-", m.number)
}

func (m *machine) roles() []role {
	if m.control {
		return []role{controlRole}
	}
	return []role{agentRole, routerRole}
}

// process is one process of a machine. It is restarted whenever it ends, until stop is called.
type process struct {
	mu           sync.Mutex
	machine      *machine
	role         role
	binary       string
	command      *exec.Cmd
	wanted       bool
	frozen       bool
	restartDelay time.Duration // wait before it is restarted
	starts       int
	ended        chan struct{}
	disruptions  []time.Time // times at which it was killed, frozen or resumed
	output       *os.File
}

// run starts the process and restarts it whenever it ends, until stop is called.
func (p *process) run() {
	defer close(p.ended)
	for {
		p.mu.Lock()
		if !p.wanted {
			p.mu.Unlock()
			return
		}
		var args []string
		binary := filepath.Join(p.binary, "ivyfleet")
		switch p.role {
		case controlRole:
			binary, args = filepath.Join(p.binary, "ivycontrol"), []string{"serve"}
		default:
			args = []string{string(p.role)}
		}
		p.command = exec.Command(binary, args...)
		p.command.Env = append(os.Environ(), "IVYBANK_CONFIG="+p.machine.settingsPath(), "GOMAXPROCS=2")
		p.command.Stdout, p.command.Stderr = p.output, p.output
		err := p.command.Start()
		p.starts++
		p.mu.Unlock()
		if err == nil {
			_ = p.command.Wait()
		}
		p.mu.Lock()
		restartDelay := p.restartDelay
		p.frozen = false
		p.mu.Unlock()
		time.Sleep(restartDelay)
	}
}

// signal sends a signal, and records SIGKILL, SIGSTOP and SIGCONT as disruptions.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGSTOP || s == syscall.SIGCONT {
		p.disruptions = append(p.disruptions, time.Now())
	}
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// disruptedBetween reports whether the process was killed, frozen or resumed between two times.
func (p *process) disruptedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.disruptions {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// stop ends the process permanently.
func (p *process) stop() {
	p.mu.Lock()
	p.wanted = false
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (m *machine) settingsPath() string { return filepath.Join(m.folder, "settings.toml") }

func (m *machine) dataFolder() string { return filepath.Join(m.folder, "data") }

// writeSettings writes the settings file of a machine and returns the error of the write.
func (m *machine) writeSettings(seeds []string, platform string) error {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node_name = %q", m.String())
	line("ip = %q", ipOf(m.number))
	line("port_range = [%d,%d]", portOf(m.number), portOf(m.number)+portsPerMachine-1)
	line(`seeds = ["%s"]`, strings.Join(seeds, `","`))
	line("bootstrap = %v", m.bootstrap)
	if m.options.coordination {
		line(`guarantees = ["coord"]`)
	}
	if m.control {
		line("data_dir = %q", m.dataFolder())
	}
	line("[listen]")
	if m.control {
		line("control = %q", addressOf(m.number, servicePort))
	} else {
		line("front = %q\nready = %q", addressOf(m.number, servicePort), addressOf(m.number, servicePort+1))
	}
	line("[tolerate]\nmachines = %d", m.options.tolerate)
	line("[cloud]\naddress = %q\nrate_per_s = 100.0", platform)
	line("[bounds]\ndrain_ms = 2000\ngrace_s = %v\nconfig_ms = 2000\nsync_s = 4\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 56", graceSeconds)
	line("history_s = %v", historySpan.Seconds())
	line("quota_window_s = %v\nquota_overage = %v\nquota_slack = %v", quotaWindow.Seconds(), quotaOverage, quotaSlack)
	return os.WriteFile(m.settingsPath(), []byte(b.String()), 0o600)
}
