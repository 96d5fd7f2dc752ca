package sibling

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"
	"time"
)

// TestMain is also run as the other process: it takes a lock, says so and waits to be killed.
func TestMain(m *testing.M) {
	if path := os.Getenv("TWIN_OTHER"); path != "" {
		seat, err := Acquire(path)
		if err != nil {
			panic(err)
		}
		fmt.Println("here")
		// Not an endless wait: the runtime ends a process in which all goroutines are blocked forever.
		time.Sleep(time.Hour)
		runtime.KeepAlive(seat)
	}
	os.Exit(m.Run())
}

func TestOther(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seats")
	s, err := Acquire(path)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if s.Other() {
			t.Fatal("got another process, want none")
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "TWIN_OTHER="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		if line, err := bufio.NewReader(out).ReadString('\n'); line != "here\n" {
			t.Fatalf("got %q, %v", line, err)
		}
		if !s.Other() {
			t.Error("got no other process, want the running one")
		}
		_ = cmd.Process.Kill() // the kernel releases its lock however it ends
		_ = cmd.Wait()
	}
}

func TestMissingFolder(t *testing.T) {
	if _, err := Acquire(filepath.Join(t.TempDir(), "gone", "seats")); err == nil {
		t.Error("got a lock in a folder that does not exist")
	}
}
