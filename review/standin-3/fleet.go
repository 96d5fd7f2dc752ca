package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports and addresses. Each run draws its own addresses within 127.0.0.0/8 and its own port range.
const (
	controlCount = 3
	frontNumber  = 9 // last part of the address of the front machine
	rangeSize    = 16
	firstPort    = 20000
	portSpan     = 8000
)

// fleet is a small deployment of the project's programs: three control processes, one agent and one router.
type fleet struct {
	folder    string
	prefix    string // of the addresses of the machines
	port      int    // first port of the port range
	platform  *platform
	record    *record
	mu        sync.Mutex
	processes []*process
	revision  int64
}

// process is one process of the project's programs. Its standard error goes to a file in the run's folder.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	mayEnd  bool // it was told to end
}

// startFleet starts all processes on empty disks.
func startFleet(r *record, p *platform) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: r, platform: p,
		prefix: fmt.Sprintf("127.%d.%d.", 80+rand.IntN(100), rand.IntN(250))}
	if f.port, err = f.freeRange(); err != nil {
		return nil, err
	}
	for i := 1; i <= controlCount; i++ {
		if err := f.start(fmt.Sprint("control-", i), i, "target/ivycontrol", "serve"); err != nil {
			return f, err
		}
	}
	if err := f.start("agent", frontNumber, "target/ivyfleet", "agent"); err != nil {
		return f, err
	}
	return f, f.start("router", frontNumber, "target/ivyfleet", "router")
}

// freeRange returns the first port of a range that is free on the addresses of this run.
func (f *fleet) freeRange() (int, error) {
	for range 50 {
		port := firstPort + rand.IntN(portSpan/rangeSize)*rangeSize
		if f.rangeIsFree(port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free range of ports")
}

func (f *fleet) rangeIsFree(port int) bool {
	for i := range 8 {
		for _, ip := range []string{"127.0.0.1", f.ip(1), f.ip(frontNumber)} {
			l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port+i)))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (f *fleet) ip(machine int) string { return f.prefix + strconv.Itoa(machine) }

// Addresses beside the port range of the processes among themselves.
func (f *fleet) controlAddress(i int) string {
	return net.JoinHostPort(f.ip(i), strconv.Itoa(f.port+4))
}
func (f *fleet) frontAddress() string {
	return net.JoinHostPort(f.ip(frontNumber), strconv.Itoa(f.port+5))
}
func (f *fleet) readyAddress() string {
	return net.JoinHostPort(f.ip(frontNumber), strconv.Itoa(f.port+6))
}

// settings returns the settings file of a process, with the figures of a small deployment.
func (f *fleet) settings(name string, machine int) string {
	var seeds []string
	for i := 1; i <= controlCount; i++ {
		seeds = append(seeds, strconv.Quote(f.controlAddress(i)))
	}
	class, listen, disk := "front", fmt.Sprintf("front = %q\nready = %q\n", f.frontAddress(), f.readyAddress()), ""
	counts, limits := false, "cpu_share = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\n"
	if machine != frontNumber {
		class, listen, counts = "core", fmt.Sprintf("control = %q\n", f.controlAddress(machine)), true
		disk = fmt.Sprintf("data_dir = %q\n", filepath.Join(f.folder, name+"-data"))
		limits = "cpu_share = 0.96\ncores = 1\nmemory_mb = 280\nmax_fds = 4096\nlink_mbps = 1000.0\n"
	}
	return fmt.Sprintf("node_name = %q\nmachine_class = %q\nip = %q\nzone = \"didube\"\nregion = \"tbilisi\"\n", name, class,
		f.ip(machine)) +
		fmt.Sprintf("port_range = [%d,%d]\nseeds = [%s]\nbootstrap = true\ncounts_for_quorum = %v\n", f.port, f.port+3,
			strings.Join(seeds, ","), counts) + disk +
		"discovery = \"cloud_api\"\nentry = \"vip\"\nheartbeat_ms = 1200\n" +
		"guarantees = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"quota\"]\n" +
		"[zones]\ndidube = \"tbilisi\"\n[listen]\n" + listen + "[limits]\n" + limits +
		"[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\n" +
		"ack_ms = 4000\nsync_s = 4\ndrain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\n" +
		"rollback_slack_ms = 250\nstretch_max_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 56\n" +
		"quota_window_s = 8\nquota_overage = 0.1\nquota_slack = 110000\nrecovery_s = 12\npass_ms = 120\nagain_s = 8.1\n" +
		fmt.Sprintf("[cloud]\naddress = %q\nrate_per_s = 44.0\nduties = []\nlag_ms = 800\n", f.platform.address())
}

// start writes the settings of a process and starts it with a command of the deploy file.
func (f *fleet) start(name string, machine int, program string, args ...string) error {
	path := filepath.Join(f.folder, name+".toml")
	if err := os.WriteFile(path, []byte(f.settings(name, machine)), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(f.folder, name+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(program, args...)
	command.Env = []string{"IVYBANK_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + f.folder}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{name: name, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		output.Close()
		close(p.done)
	}()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return nil
}

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.command.Process.Kill()
		<-p.done
	}
	_ = os.RemoveAll(f.folder)
}

// ended returns the name of a process that has ended by itself, or "".
func (f *fleet) ended() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		select {
		case <-p.done:
			if !p.mayEnd {
				return p.name
			}
		default:
		}
	}
	return ""
}

// replaceConfig sends a configuration until it is acknowledged, as the operator does.
func (f *fleet) replaceConfig(c map[string]any, until time.Time) error {
	base := f.revision
	c["revision"] = base + 2
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for i := 0; time.Now().Before(until); i++ {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.controlAddress(i%controlCount+1)+"/v1/Config.Replace",
			bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Base-Version", strconv.FormatInt(base, 10))
		request.Header.Set("Content-Type", "application/json")
		answer, err := client.Do(request)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(answer.Body)
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			f.revision = base + 2
			f.record.add("operator: revision %d acknowledged", f.revision)
			return nil
		}
		if answer.StatusCode >= 400 && answer.StatusCode < 500 {
			return fmt.Errorf("configuration refused: %d %s", answer.StatusCode, text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged")
}

// awaitReady waits until the router calls itself ready.
func (f *fleet) awaitReady(until time.Time) error {
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(until) {
		if answer, err := client.Get("http://" + f.readyAddress() + "/v1/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the router is not ready")
}
