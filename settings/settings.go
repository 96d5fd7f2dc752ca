// Package settings reads and checks the settings file of a fleet process. Unknown fields are ignored.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// PathEnvVar is the environment variable that holds the path of the settings file.
const PathEnvVar = "IVYBANK_CONFIG"

// DefaultPath is the path of the settings file if that variable is not set.
const DefaultPath = "/etc/ivybank/settings.toml"

// Settings are the settings that the platform gives to a process. Field names follow the keys of the file.
type Settings struct {
	NodeName     string            `toml:"node_name"`
	MachineClass string            `toml:"machine_class"`
	IP           string            `toml:"ip"`
	Zone         string            `toml:"zone"`
	Region       string            `toml:"region"`
	PortRange    [2]int            `toml:"port_range"`
	Seeds        []string          `toml:"seeds"`
	Bootstrap    bool              `toml:"bootstrap"`
	DataDir      string            `toml:"data_dir"`
	Metrics      string            `toml:"metrics"` // PORT/PATH at which metrics are served; empty for none
	Zones        map[string]string `toml:"zones"`
	Listen       Listen            `toml:"listen"`
	Limits       Limits            `toml:"limits"`
	Tolerate     Tolerate          `toml:"tolerate"`
	// Guarantees names the guarantees that apply to this fleet.
	Guarantees []string `toml:"guarantees"`
	Bounds     Bounds   `toml:"bounds"`
	Cloud      Cloud    `toml:"cloud"`
}

// Listen holds the host:port addresses on which a process serves others.
type Listen struct {
	Front   string `toml:"front"`
	Ready   string `toml:"ready"`
	Control string `toml:"control"`
}

// Limits are the resource limits of the machine.
type Limits struct {
	CPUShare float64 `toml:"cpu_share"`
	MemoryMB int     `toml:"memory_mb"`
	MaxFDs   int     `toml:"max_fds"`
}

// Tolerate is how many failures at the same time the fleet has to tolerate.
type Tolerate struct {
	Machines int `toml:"machines"`
}

// Bounds are the figures of the guarantees. Field names end in their unit; counts and ratios have none.
type Bounds struct {
	DrainMS         float64 `toml:"drain_ms"`
	GraceS          float64 `toml:"grace_s"`
	ConfigMS        float64 `toml:"config_ms"`
	RetryRatio      float64 `toml:"retry_ratio"`
	RetryWindowS    float64 `toml:"retry_window_s"`
	RetrySlack      float64 `toml:"retry_slack"`
	QuotaWindowS    float64 `toml:"quota_window_s"`
	QuotaOverage    float64 `toml:"quota_overage"`
	QuotaSlack      float64 `toml:"quota_slack"`
	SyncS           float64 `toml:"sync_s"`
	AgainS          float64 `toml:"again_s"`
	ReuseAfterS     float64 `toml:"reuse_after_s"`
	LossSlackMS     float64 `toml:"loss_slack_ms"`
	RollbackSlackMS float64 `toml:"rollback_slack_ms"`
	HistoryS        float64 `toml:"history_s"`
}

// Cloud describes the API of the platform that lists the hosts.
type Cloud struct {
	Address  string  `toml:"address"`
	RatePerS float64 `toml:"rate_per_s"`
	LagMS    float64 `toml:"lag_ms"`
}

// Path returns the path of the settings file.
func Path() string {
	if path := os.Getenv(PathEnvVar); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks the text of a settings file.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(text, s); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			line, _ := decodeErr.Position()
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		return nil, err
	}
	return s, s.check()
}

func (s *Settings) check() error {
	if s.NodeName == "" {
		return errors.New("node_name is missing")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		return fmt.Errorf("ip: %w", err)
	}
	if s.PortRange[0] < 1 || s.PortRange[1] < s.PortRange[0]+1 || s.PortRange[1] > 65535 {
		return fmt.Errorf("port_range: %v must span at least two ports", s.PortRange)
	}
	if err := checkMetrics(s.Metrics); err != nil {
		return err
	}
	for _, address := range append([]string{s.Listen.Front, s.Listen.Ready, s.Listen.Control, s.Cloud.Address}, s.Seeds...) {
		if address == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("address %q: %w", address, err)
		}
	}
	return nil
}

// checkMetrics checks the metrics address, PORT/PATH.
func checkMetrics(address string) error {
	if address == "" {
		return nil
	}
	port, path, ok := strings.Cut(address, "/")
	if number, err := strconv.ParseUint(port, 10, 16); !ok || err != nil || number == 0 || strings.ContainsAny(path, " {}") {
		return fmt.Errorf("metrics: %q is not PORT/PATH", address)
	}
	return nil
}

// coordinationGuarantee is the name of the guarantee for locks, numbers, keys and watches.
const coordinationGuarantee = "coord"

// CoordinationEnabled reports whether applications may use locks, numbers, keys and watches.
func (s *Settings) CoordinationEnabled() bool {
	return slices.Contains(s.Guarantees, coordinationGuarantee)
}

// InternalPort is the port on which control processes and agents serve other machines.
func (s *Settings) InternalPort() int { return s.PortRange[0] }

// LocalPort is the loopback port on which an agent serves the router of its machine.
func (s *Settings) LocalPort() int { return s.PortRange[0] + 1 }

// SeedIPs returns the IP addresses of the seeds.
func (s *Settings) SeedIPs() []string {
	var ips []string
	for _, seed := range s.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil {
			ips = append(ips, address.Addr().String())
		}
	}
	return ips
}
