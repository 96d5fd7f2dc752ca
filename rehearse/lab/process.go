package lab

// This file owns one client proxy as a process: its start, its end, its pauses. It must never end a process that it did not start.

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

// process is a client proxy that can be killed, started again and stopped for a while.
type process struct {
	cmd    []string
	env    []string
	folder string
	listen string
	door   string
	hurt   atomic.Int64 // counts each beginning and end of what keeps it from serving,
	down   atomic.Int64 // and how much of that is in force
	kills  atomic.Int64 // of the kills the latest alone starts it again
	mu     sync.Mutex
	now    *exec.Cmd
	ended  chan bool // closed when it has; nil where it was never started
	meant  bool      // it was ended from here
	stops  int       // faults that keep it stopped
	out    output
}

// output is the end of what a process has written.
type output struct {
	mu   sync.Mutex
	text []byte
}

const mostOutput = 64 << 10

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.text = append(o.text, b...); len(o.text) > mostOutput {
		o.text = o.text[len(o.text)-mostOutput/2:]
	}
	return len(b), nil
}

func (x *process) said() string {
	x.out.mu.Lock()
	defer x.out.mu.Unlock()
	return strings.TrimSpace(string(x.out.text[max(0, len(x.out.text)-400):]))
}

// start begins the process.
func (x *process) start() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	cmd := exec.Command(x.cmd[0], x.cmd[1:]...)
	cmd.Env, cmd.Dir, cmd.Stdout, cmd.Stderr = x.env, x.folder, &x.out, &x.out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan bool)
	x.now, x.ended, x.meant = cmd, ended, false
	if x.stops > 0 {
		x.stops = 0
		x.fails(false)
	}
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// fails notes that something begins to keep it from serving, or no longer does.
func (x *process) fails(on bool) {
	x.hurt.Add(1)
	if on {
		x.down.Add(1)
	} else {
		x.down.Add(-1)
	}
}

// signal sends one; false where there is no process. Within the lock.
func (x *process) signal(s syscall.Signal) bool {
	select {
	case <-x.ended:
		return false
	default:
		return x.now.Process.Signal(s) == nil
	}
}

// strike ends it without waiting for that; what it gives is closed then.
func (x *process) strike(s syscall.Signal) chan bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.meant = true
	x.signal(s)
	return x.ended
}

// kill ends it and waits until it has.
func (x *process) kill() {
	<-x.strike(syscall.SIGKILL)
}

// pause stops it, or lets it go on once no fault keeps it stopped.
func (x *process) pause(stop bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if stop {
		if x.stops++; x.stops == 1 {
			x.fails(true)
			x.signal(syscall.SIGSTOP)
		}
	} else if x.stops > 0 { // else it has ended meanwhile
		if x.stops--; x.stops == 0 {
			x.signal(syscall.SIGCONT)
			x.fails(false)
		}
	}
}

// died says whether it ended without being told to.
func (x *process) died() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.ended:
		return !x.meant
	default:
		return false
	}
}

// ready waits until it serves.
func (x *process) ready() error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if a, err := http.Get("http://" + x.listen + "/_health"); err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	x.kill()
	return fmt.Errorf("a proxy is not ready after %s: %s", readyWait, x.said())
}

// cpu is the processor time that it has used so far, in seconds; 0 where the kernel does not say.
func (x *process) cpu() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", x.now.Process.Pid))
	if err != nil {
		return 0
	}
	// The name may hold spaces; what comes after it does not. The 12th and 13th there are user and system time in hundredths.
	rest := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(rest) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(rest[11], 64)
	system, _ := strconv.ParseFloat(rest[12], 64)
	return (user + system) / 100
}

var doorClient = http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// view is what a proxy tells of its fleet at its door.
func (x *process) view() (v fleet.Status, ok bool) {
	ok = x.tells("/fleet", &v)
	return v, ok
}

// returned is what it tells there of its coming back.
func (x *process) returned() (v warmstart.Status, ok bool) {
	ok = x.tells("/return", &v)
	return v, ok
}

// tells asks a proxy at its door; false where it says nothing.
func (x *process) tells(path string, v any) bool {
	a, err := doorClient.Get("http://" + x.door + path)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return err == nil && a.StatusCode == http.StatusOK && json.Unmarshal(text, v) == nil
}
