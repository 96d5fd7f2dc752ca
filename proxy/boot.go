package proxy

// This file reads the machine's boot ID, which tells whether uptimes in a snapshot are of the same clock.

import (
	"os"
	"strings"
	"sync"
)

// bootID changes with each start of the machine. It is empty if the kernel does not report one; ages then go by
// wall time.
var bootID = sync.OnceValue(func() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
})
