package lab

// This file holds the control of one client proxy as a process: start, end and pauses. It must never end a process that
// it did not start.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ivybank/fleet"
	"ivybank/fleet/warmstart"
)

// process is a client proxy that can be killed, restarted and paused.
type process struct {
	cmd           []string
	env           []string
	folder        string
	listen        string
	adminAddr     string
	outageChanges atomic.Int64 // number of starts and ends of outages
	outages       atomic.Int64 // number of outages in force
	kills         atomic.Int64 // number of kills; only the latest one restarts the process
	mu            sync.Mutex
	running       *exec.Cmd
	ended         chan bool // closed when the process has ended; nil if it was never started
	exitExpected  bool      // it was ended by this package
	stops         int       // number of faults that keep it paused
	out           output
}

// output keeps the last part of a process's output.
type output struct {
	mu   sync.Mutex
	text []byte
}

const maxOutputBytes = 64 << 10

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.text = append(o.text, b...); len(o.text) > maxOutputBytes {
		o.text = o.text[len(o.text)-maxOutputBytes/2:]
	}
	return len(b), nil
}

func (x *process) outputTail() string {
	x.out.mu.Lock()
	defer x.out.mu.Unlock()
	return strings.TrimSpace(string(x.out.text[max(0, len(x.out.text)-400):]))
}

// start starts the process.
func (x *process) start() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	cmd := exec.Command(x.cmd[0], x.cmd[1:]...)
	cmd.Env, cmd.Dir, cmd.Stdout, cmd.Stderr = x.env, x.folder, &x.out, &x.out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan bool)
	x.running, x.ended, x.exitExpected = cmd, ended, false
	if x.stops > 0 {
		x.stops = 0
		x.recordOutage(false)
	}
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// recordOutage records the start or the end of an outage: something that keeps the proxy from serving.
func (x *process) recordOutage(on bool) {
	x.outageChanges.Add(1)
	if on {
		x.outages.Add(1)
	} else {
		x.outages.Add(-1)
	}
}

// signal sends a signal; it returns false if the process has ended. The caller holds mu.
func (x *process) signal(s syscall.Signal) bool {
	select {
	case <-x.ended:
		return false
	default:
		return x.running.Process.Signal(s) == nil
	}
}

// terminate sends a signal that ends the process, without waiting; the channel that it returns is closed at the end.
func (x *process) terminate(s syscall.Signal) chan bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.exitExpected = true
	x.signal(s)
	return x.ended
}

// kill kills the process and waits until it has ended.
func (x *process) kill() {
	<-x.terminate(syscall.SIGKILL)
}

// setPaused stops the process, or continues it once no fault keeps it paused.
func (x *process) setPaused(stop bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if stop {
		if x.stops++; x.stops == 1 {
			x.recordOutage(true)
			x.signal(syscall.SIGSTOP)
		}
	} else if x.stops > 0 { // otherwise it was restarted meanwhile
		if x.stops--; x.stops == 0 {
			x.signal(syscall.SIGCONT)
			x.recordOutage(false)
		}
	}
}

// exitedUnexpectedly reports whether the process ended without being signalled by this package.
func (x *process) exitedUnexpectedly() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.ended:
		return !x.exitExpected
	default:
		return false
	}
}

// ready waits until the proxy serves; after readyWait it kills the process and returns an error.
func (x *process) ready() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if a, err := http.Get("http://" + x.listen + "/_health"); err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	x.kill()
	return fmt.Errorf("proxy not ready after %s: %s", readyTimeout, x.outputTail())
}

// cpu returns the processor time used so far, in seconds; 0 if the kernel does not report it.
func (x *process) cpu() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", x.running.Process.Pid))
	if err != nil {
		return 0
	}
	// The name may hold spaces; the fields after it do not. The 12th and 13th of them are user and system time in 1/100 s.
	rest := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(rest) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(rest[11], 64)
	system, _ := strconv.ParseFloat(rest[12], 64)
	return (user + system) / 100
}

var doorClient = http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// view returns the proxy's view of its fleet from its administrative address; false if it does not answer.
func (x *process) view() (v fleet.Status, ok bool) {
	ok = x.getJSON("/fleet", &v)
	return v, ok
}

// warmStartStatus returns the proxy's warm start status; false if it does not answer.
func (x *process) warmStartStatus() (v warmstart.Status, ok bool) {
	ok = x.getJSON("/return", &v)
	return v, ok
}

// getJSON reads JSON from the proxy's administrative address into v; it returns false on any error.
func (x *process) getJSON(path string, v any) bool {
	a, err := doorClient.Get("http://" + x.adminAddr + path)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return err == nil && a.StatusCode == http.StatusOK && json.Unmarshal(text, v) == nil
}
