package proxy

// This file owns the name of the machine's start, by which ages in snapshots are known to be of one clock.

import (
	"os"
	"strings"
	"sync"
)

// bootID is another after each start of the machine; empty where the kernel does not tell, and ages go by the clock of the day.
var bootID = sync.OnceValue(func() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
})
