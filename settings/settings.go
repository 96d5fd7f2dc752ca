// Package settings reads and checks the settings file of a process of a fleet. Fields that it doesn't know are
// ignored.
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

// Variable is the environment variable that holds the path of the settings file.
const Variable = "IVYBANK_CONFIG"

// DefaultPath is where the file is looked for without that variable.
const DefaultPath = "/etc/ivybank/settings.toml"

// Settings is what the platform tells a process. Names are those of the file.
type Settings struct {
	NodeName  string            `toml:"node_name"`
	Class     string            `toml:"machine_class"`
	IP        string            `toml:"ip"`
	Zone      string            `toml:"zone"`
	Region    string            `toml:"region"`
	PortRange [2]int            `toml:"port_range"`
	Seeds     []string          `toml:"seeds"`
	Bootstrap bool              `toml:"bootstrap"`
	DataDir   string            `toml:"data_dir"`
	Metrics   string            `toml:"metrics"` // PORT/PATH of the figures; empty for none
	Zones     map[string]string `toml:"zones"`
	Listen    Listen            `toml:"listen"`
	Limits    Limits            `toml:"limits"`
	Tolerate  Tolerate          `toml:"tolerate"`
	// Guarantees names the parts of the rules in force.
	Guarantees []string `toml:"guarantees"`
	Bounds     Bounds   `toml:"bounds"`
	Cloud      Cloud    `toml:"cloud"`
}

// Listen holds the addresses that a process serves to others, host:port.
type Listen struct {
	Front   string `toml:"front"`
	Ready   string `toml:"ready"`
	Control string `toml:"control"`
}

// Limits are those of the machine.
type Limits struct {
	CPUShare float64 `toml:"cpu_share"`
	MemoryMB int     `toml:"memory_mb"`
	MaxFDs   int     `toml:"max_fds"`
}

// Tolerate says how much may fail at once.
type Tolerate struct {
	Machines int `toml:"machines"`
}

// Bounds are figures of the rules in force. Names end in their unit.
type Bounds struct {
	DrainMS       float64 `toml:"drain_ms"`
	GraceS        float64 `toml:"grace_s"`
	ConfigMS      float64 `toml:"config_ms"`
	RetryRatio    float64 `toml:"retry_ratio"`
	RetryWindowS  float64 `toml:"retry_window_s"`
	RetrySlack    float64 `toml:"retry_slack"`
	QuotaWindowS  float64 `toml:"quota_window_s"`
	QuotaOverage  float64 `toml:"quota_overage"`
	QuotaSlack    float64 `toml:"quota_slack"`
	SyncS         float64 `toml:"sync_s"`
	AgainS        float64 `toml:"again_s"`
	ReuseAfterS   float64 `toml:"reuse_after_s"`
	LossSlackMS   float64 `toml:"loss_slack_ms"`
	RollbackSlack float64 `toml:"rollback_slack_ms"`
	HistoryS      float64 `toml:"history_s"`
}

// Cloud says where the platform keeps its list of hosts.
type Cloud struct {
	Address  string  `toml:"address"`
	RatePerS float64 `toml:"rate_per_s"`
	LagMS    float64 `toml:"lag_ms"`
}

// Path gives where the settings file is.
func Path() string {
	if path := os.Getenv(Variable); path != "" {
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
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ := at.Position()
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
		return fmt.Errorf("port_range: %v is no range of two ports or more", s.PortRange)
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

// checkMetrics checks where figures are to be told: PORT/PATH.
func checkMetrics(at string) error {
	if at == "" {
		return nil
	}
	port, path, ok := strings.Cut(at, "/")
	if number, err := strconv.ParseUint(port, 10, 16); !ok || err != nil || number == 0 || strings.ContainsAny(path, " {}") {
		return fmt.Errorf("metrics: %q is not PORT/PATH", at)
	}
	return nil
}

// coordinationGuarantee names the rules on locks, numbers, keys and watches.
const coordinationGuarantee = "coord"

// Coordinates says whether applications may ask for locks, numbers, keys and watches.
func (s *Settings) Coordinates() bool { return slices.Contains(s.Guarantees, coordinationGuarantee) }

// InternalPort is the port on which control processes and agents of other machines are reached.
func (s *Settings) InternalPort() int { return s.PortRange[0] }

// LocalPort is the port on which an agent serves the router of its own machine over loopback.
func (s *Settings) LocalPort() int { return s.PortRange[0] + 1 }

// SeedIPs gives the machines of the seeds.
func (s *Settings) SeedIPs() []string {
	var ips []string
	for _, seed := range s.Seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil {
			ips = append(ips, at.Addr().String())
		}
	}
	return ips
}
