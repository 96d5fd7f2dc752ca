// Command ivybank runs one client proxy. This file holds its configuration, start, signals and exit. It must not make
// balancing decisions, and it has no tuning parameters of its own.
package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"

	"ivybank/conf"
	"ivybank/fleet/holds"
	"ivybank/keys/idempotency"
	"ivybank/proxy"
	"ivybank/proxy/admin"
	"ivybank/proxy/sibling"
	"ivybank/terms"
)

const (
	pollers      = 1
	heapFraction = 0.6 // of the memory limit, for Go's heap; the rest is for stacks, buffers and files
)

// platformConfig is the platform's configuration file (GW_CONFIG) and, if there is one, the operator file.
type platformConfig struct {
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores   float64 `json:"cores"`
		Memory  float64 `json:"memory_mb"`
		Sockets int     `json:"sockets"`
	} `json:"limits"`
	AdminAddr  string               `json:"admin_addr"` // empty: the proxy has no admin address
	PeerListen string               `json:"peer_listen"`
	Peers      []string             `json:"peers"`
	operator   *conf.OperatorConfig // nil: there is no operator file
	Known      json.RawMessage      `json:"known"`
	Settings   json.RawMessage      `json:"settings"`
}

// loadConfig reads the platform's configuration from its file.
func loadConfig(path string) (platformConfig, proxy.Config, error) {
	if path == "" {
		return platformConfig{}, proxy.Config{}, errors.New("GW_CONFIG is not set to the path of a configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return platformConfig{}, proxy.Config{}, err
	}
	o, s, err := parseConfig(text)
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return o, s, err
}

// applyLogging applies the operator file's log settings.
func (o *platformConfig) applyLogging() {
	if o.operator != nil {
		o.operator.ApplyLogging()
	}
}

// loadAll reads the platform's configuration and, if operator is not empty, the operator file.
func loadAll(path, operator string) (platformConfig, proxy.Config, error) {
	var op *conf.OperatorConfig
	if operator != "" {
		var err error
		if op, err = conf.LoadOperator(operator); err != nil {
			return platformConfig{}, proxy.Config{}, err
		}
	}
	o, s, err := loadConfig(path)
	if err != nil {
		return o, s, err
	}
	if s.Fleet, err = fleetConfig(op, o, s.LongestTimeout); err != nil {
		return o, s, fmt.Errorf("%s: %w", path, err)
	}
	if o.operator = op; op != nil {
		s.Idempotency, s.Recovery, s.Maintenance = idempotencyConfig(op), recoveryConfig(op), maintenanceConfig(op)
	}
	return o, s, nil
}

// parseConfig decodes and validates the platform's configuration.
func parseConfig(text []byte) (o platformConfig, s proxy.Config, err error) {
	if err := json.Unmarshal(text, &o); err != nil {
		return o, s, err
	}
	for _, x := range []struct{ name, addr string }{{"listen", o.Listen}, {"discovery", o.Discovery}} {
		if _, err := netip.ParseAddrPort(x.addr); err != nil {
			return o, s, fmt.Errorf("%s=%q: expected address:port", x.name, x.addr)
		}
	}
	seed, err := strconv.ParseUint(o.Seed, 16, 64)
	if err != nil {
		return o, s, fmt.Errorf("seed=%q: expected a hexadecimal number", o.Seed)
	}
	v, err := terms.Flatten(o.Settings)
	if err != nil {
		return o, s, fmt.Errorf("settings: %w", err)
	}
	s = proxy.Config{Listen: o.Listen, Discovery: o.Discovery, Sockets: o.Limits.Sockets, Pollers: pollers,
		Memory: int64(o.Limits.Memory * heapFraction * (1 << 20)), KnownHosts: o.Known, Terms: terms.Decode(v, seed),
		DialTimeout: v.Int("Ceilings.DialTimeoutNs"), ConnIdle: v.Int("Ceilings.ConnIdleNs")}
	// If Discovery is not set, the balancer requests lists, as it did before the setting existed.
	s.Terms.ListOnRequest = v.Raw["Discovery"] != "pushed"
	for i := range v.Int("RuleSets.count") {
		s.LongestTimeout = max(s.LongestTimeout, v.Int(fmt.Sprintf("RuleSets.%d.ClientTimeoutNs", i)))
	}
	if v.Err != nil {
		return o, s, fmt.Errorf("settings: %w", v.Err)
	}
	if err := terms.Validate(v); err != nil {
		return o, s, fmt.Errorf("settings: %w", err)
	}
	if s.DialTimeout <= 0 || s.ConnIdle <= 0 || s.LongestTimeout <= 0 || s.Terms.Tick <= 0 {
		return o, s, errors.New("settings: expected DialTimeoutNs, ConnIdleNs, ClientTimeoutNs and TickNs above 0")
	}
	if s.Sockets <= 0 {
		s.Sockets = 1024
	}
	return o, s, nil
}

// checkReload checks whether a new configuration may replace the running one. Everything that the running one names
// has to be present: a file that was truncated, or lost a name in editing, may still parse.
func checkReload(old, next platformConfig) error {
	if old.Listen != next.Listen {
		return fmt.Errorf("listen=%q: it was %q, and a change requires a restart", next.Listen, old.Listen)
	}
	if (next.Limits.Cores <= 0 && old.Limits.Cores > 0) || (next.Limits.Memory <= 0 && old.Limits.Memory > 0) ||
		(next.Limits.Sockets <= 0 && old.Limits.Sockets > 0) {
		return errors.New("limits: expected cores, memory_mb and sockets above 0")
	}
	return terms.CheckNoneMissing(old.Settings, next.Settings)
}

// newProxy creates the proxy with what the process finds in its environment: an inherited listener, the files shared
// with the process before or after it, and the admin address.
func newProxy(o platformConfig, start proxy.Config) (*proxy.Proxy, error) {
	if text := os.Getenv("GW_SOCKET_FD"); text != "" {
		fd, err := strconv.Atoi(text)
		if err != nil || fd < 3 {
			return nil, fmt.Errorf("GW_SOCKET_FD=%q: expected the number of a descriptor", text)
		}
		if start.Inherited, err = proxy.InheritListener(fd); err != nil {
			return nil, err
		}
	}
	// Several proxies may share the folder; the address identifies the processes of one of them.
	base := filepath.Join(os.TempDir(), "ivybank-"+strings.NewReplacer(":", "-", "/", "-").Replace(start.Listen))
	var err error
	if start.SiblingLock, err = sibling.Acquire(base + ".seats"); err != nil {
		logrus.Warnf("other processes of this proxy cannot be detected: %v", err)
	}
	if start.Holds, err = holds.Open(base + ".holds"); err != nil {
		logrus.Warnf("file of hosts taken out of use by operators: %v", err)
	}
	p := proxy.New(start)
	if addr := cmp.Or(os.Getenv("GW_ADMIN_ADDR"), o.AdminAddr); addr != "" {
		if _, err := admin.Listen(addr, p.HandleAdmin); err != nil {
			return nil, fmt.Errorf("admin_addr: %w", err)
		}
	}
	return p, nil
}

// idempotencyConfig returns the configuration of idempotency keys; nil if the operator file has none.
func idempotencyConfig(o *conf.OperatorConfig) *proxy.IdempotencyConfig {
	k := o.Idempotency
	if k == nil {
		return nil
	}
	x := &proxy.IdempotencyConfig{Header: k.Header, Terms: idempotency.Config{MaxKeys: k.MaxKeys,
		MaxResponseBytes: k.MaxResponseBytes, MaxResponseSize: k.MaxResponseSize, MaxWaiters: k.MaxWaiters,
		MaxKeyLength: k.MaxKeyLength, RetryAfter: int64(k.RetryAfter), Retain: map[string]int64{}}}
	for _, r := range k.RuleSets {
		x.Terms.Retain[r.Name] = int64(r.Retain)
	}
	if k.Folder != "" {
		x.File = filepath.Join(k.Folder, "keys.ledger")
	}
	return x
}

// recoveryConfig returns the configuration of recovery; nil if the operator file has none.
func recoveryConfig(o *conf.OperatorConfig) *proxy.RecoveryConfig {
	if x := o.Recovery; x != nil {
		return &proxy.RecoveryConfig{Folder: x.Folder, Every: int64(x.SnapshotInterval), Trust: int64(x.MaxObservationAge)}
	}
	return nil
}

// maintenanceConfig returns the configuration of maintenance plans; nil if the operator file has none.
func maintenanceConfig(o *conf.OperatorConfig) *proxy.MaintenanceConfig {
	if x := o.Maintenance; x != nil {
		return &proxy.MaintenanceConfig{Folder: x.Folder, Voters: x.Voters, Service: x.MinService,
			Settle: int64(x.SettleTime), Grace: int64(x.DrainGrace)}
	}
	return nil
}

// fleetConfig returns the configuration of peers, whose addresses the operator file or the platform's configuration
// names. It is nil if neither does, or if the settings forbid that proxies send one another anything. A fleet limit is
// an error then, since nothing would enforce it. A request takes at most longestRequest ns.
func fleetConfig(op *conf.OperatorConfig, o platformConfig, longestRequest int64) (*proxy.FleetConfig, error) {
	if op == nil || op.Fleet == nil {
		return nil, nil
	}
	x := op.Fleet
	v, err := terms.Flatten(o.Settings)
	if err != nil {
		return nil, err
	}
	f := &proxy.FleetConfig{Name: x.Name, Listen: x.Listen}
	addrs, me := x.Peers, x.SelfIndex
	if len(addrs) == 0 {
		if len(o.Peers) == 0 || o.PeerListen == "" || v.Raw["Ceilings.MayTell"] != "" && !v.Bool("Ceilings.MayTell") {
			if x.Limits != nil {
				return nil, errors.New("fleet.limits: no peers are named, or the settings forbid to send them anything")
			}
			return nil, nil
		}
		f.Listen, addrs, me = o.PeerListen, o.Peers, int(v.Int("Me"))
	}
	for _, a := range addrs {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, fmt.Errorf("peers: %q: expected address:port", a)
		}
		f.Peers = append(f.Peers, at)
	}
	if me < 0 || me >= len(addrs) {
		return nil, fmt.Errorf("settings: Me=%d: expected an index into the %d peers", me, len(addrs))
	}
	f.Terms = x.MemberConfig(me, len(addrs), v.Raw["Ceilings.Probes"] == "" || v.Bool("Ceilings.Probes"))
	f.Terms.Learn = op.LearnConfig()
	if l := x.Limits; l != nil {
		if l.VoterCount > len(addrs) {
			return nil, fmt.Errorf("fleet.limits.voters: %d is more than the %d peers", l.VoterCount, len(addrs))
		}
		f.Limits, f.Voters, f.Drift = l.LeaseLimits(longestRequest), l.VoterCount, l.ClockDriftPPM
		for _, limit := range f.Limits {
			if !limit.LeaseIsRenewable(len(addrs)) {
				return nil, fmt.Errorf("fleet.limits: %s: the lease is too short for %d members", limit.Name, len(addrs))
			}
		}
	}
	if s := x.Probes; s != nil {
		f.ProbePath, f.ProbeTimeout = s.Path, int64(s.Timeout)
	}
	return f, v.Err
}

// nbioLogger sends nbio's log to logrus; its info lines are logged at debug level.
type nbioLogger struct{}

func (nbioLogger) Debug(format string, v ...any) { logrus.Debugf(format, v...) }
func (nbioLogger) Info(format string, v ...any)  { logrus.Debugf(format, v...) }
func (nbioLogger) Warn(format string, v ...any)  { logrus.Warnf(format, v...) }
func (nbioLogger) Error(format string, v ...any) { logrus.Errorf(format, v...) }

func main() {
	if err := commands().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ivybank:", strings.SplitN(err.Error(), "\n", 2)[0])
		code := 2
		if e := (exitError{}); errors.As(err, &e) {
			code = e.code
		}
		os.Exit(code)
	}
}

// serve runs the proxy until it has drained. The operator file is optional.
func serve(operatorFile string) error {
	// SIGHUP is caught from the start, since it ends the process if it is not. A signal that comes before the
	// configuration has been read waits in the channel.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv("GW_CONFIG")
	o, start, err := loadAll(path, operatorFile)
	if err != nil {
		return err
	}
	o.applyLogging()
	logging.SetLogger(nbioLogger{})
	// A poller that waits in the kernel occupies one of Go's processors until the runtime takes it away, so the
	// pollers are counted in addition to the cores.
	runtime.GOMAXPROCS(max(1, int(math.Ceil(o.Limits.Cores))) + pollers)
	if start.Memory > 0 {
		debug.SetMemoryLimit(start.Memory)
	}
	p, err := newProxy(o, start)
	if err != nil {
		return err
	}
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-terminate
		p.Drain()
	}()
	go func() {
		for range reload {
			next, start, err := loadAll(path, operatorFile)
			if err == nil {
				err = checkReload(o, next)
			}
			if err != nil {
				logrus.Warnf("new configuration ignored: %v", err)
				continue
			}
			o = next
			o.applyLogging()
			p.Reconfigure(start)
		}
	}()
	if err := p.Run(); err != nil {
		return err
	}
	logrus.WithFields(p.FinalCounters()).Info("stopped")
	return nil
}
