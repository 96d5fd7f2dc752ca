// Command ivybank is one client proxy on sockets. This file owns configuration, start, signals and exit;
// it must never decide anything, and takes no tunables.
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
	pollers  = 1
	heapPart = 0.6 // of the memory limit, for Go's heap; the rest is for stacks, buffers and files
)

// orders is the configuration as the operators write it.
type orders struct {
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores   float64 `json:"cores"`
		Memory  float64 `json:"memory_mb"`
		Sockets int     `json:"sockets"`
	} `json:"limits"`
	Admin    string               `json:"admin_addr"` // absent: no door
	Peer     string               `json:"peer_listen"`
	Peers    []string             `json:"peers"`
	operator *conf.OperatorConfig // nil: none
	Known    json.RawMessage      `json:"known"`
	Settings json.RawMessage      `json:"settings"`
}

// load reads the configuration from its file.
func load(path string) (orders, proxy.Config, error) {
	if path == "" {
		return orders{}, proxy.Config{}, errors.New("GW_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return orders{}, proxy.Config{}, err
	}
	o, s, err := read(text)
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return o, s, err
}

// apply puts in force what the operator file says of the log.
func (o *orders) apply() {
	if o.operator != nil {
		o.operator.ApplyLogging()
	}
}

// loadAll reads the configuration and, where there is one, the operator file.
func loadAll(path, operator string) (orders, proxy.Config, error) {
	var op *conf.OperatorConfig
	if operator != "" {
		var err error
		if op, err = conf.LoadOperator(operator); err != nil {
			return orders{}, proxy.Config{}, err
		}
	}
	o, s, err := load(path)
	if err != nil {
		return o, s, err
	}
	if s.Fleet, err = fleetOf(op, o, s.LongestTimeout); err != nil {
		return o, s, fmt.Errorf("%s: %w", path, err)
	}
	if o.operator = op; op != nil {
		s.Idempotency, s.Recovery, s.Maintenance = keysOf(op), returnOf(op), maintenanceOf(op)
	}
	return o, s, nil
}

// read turns the configuration into what the proxy starts from.
func read(text []byte) (o orders, s proxy.Config, err error) {
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
		Memory: int64(o.Limits.Memory * heapPart * (1 << 20)), KnownHosts: o.Known, Terms: terms.Decode(v, seed),
		DialTimeout: v.Int("Ceilings.DialTimeoutNs"), ConnIdle: v.Int("Ceilings.ConnIdleNs")}
	s.Terms.ListOnRequest = v.Raw["Discovery"] != "pushed" // not set: as it always was, the module asks
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

// follows says whether a new configuration may take the place of the running one: whatever that one names has to be
// there, as a file that was cut or lost a name in editing still reads as one.
func follows(old, next orders) error {
	if old.Listen != next.Listen {
		return fmt.Errorf("listen=%q: it was %q, which takes a new start", next.Listen, old.Listen)
	}
	if (next.Limits.Cores <= 0 && old.Limits.Cores > 0) || (next.Limits.Memory <= 0 && old.Limits.Memory > 0) ||
		(next.Limits.Sockets <= 0 && old.Limits.Sockets > 0) {
		return errors.New("limits: expected cores, memory_mb and sockets above 0")
	}
	return terms.CheckNoneMissing(old.Settings, next.Settings)
}

// open adds what the process finds around it: a listener that it inherits, a folder shared with the process before or
// after it, the operators' door.
func open(o orders, start proxy.Config) (*proxy.Proxy, error) {
	if text := os.Getenv("GW_SOCKET_FD"); text != "" {
		fd, err := strconv.Atoi(text)
		if err != nil || fd < 3 {
			return nil, fmt.Errorf("GW_SOCKET_FD=%q: expected the number of a descriptor", text)
		}
		if start.Inherited, err = proxy.InheritListener(fd); err != nil {
			return nil, err
		}
	}
	// Several proxies may share the folder; the processes of one share the address.
	base := filepath.Join(os.TempDir(), "ivybank-"+strings.NewReplacer(":", "-", "/", "-").Replace(start.Listen))
	var err error
	if start.SiblingLock, err = sibling.Acquire(base + ".seats"); err != nil {
		logrus.Warnf("other processes of this proxy are not seen: %v", err)
	}
	if start.Holds, err = holds.Open(base + ".holds"); err != nil {
		logrus.Warnf("hosts out by hand: %v", err)
	}
	p := proxy.New(start)
	if addr := cmp.Or(os.Getenv("GW_ADMIN_ADDR"), o.Admin); addr != "" {
		if _, err := admin.Listen(addr, p.HandleAdmin); err != nil {
			return nil, fmt.Errorf("admin_addr: %w", err)
		}
	}
	return p, nil
}

// keysOf is what an operator file sets on idempotency keys.
func keysOf(o *conf.OperatorConfig) *proxy.IdempotencyConfig {
	k := o.Idempotency
	if k == nil {
		return nil
	}
	x := &proxy.IdempotencyConfig{Header: k.Header, Terms: idempotency.Config{MaxKeys: k.MaxKeys, MaxResponseBytes: k.MaxResponseBytes, MaxResponseSize: k.MaxResponseSize, MaxWaiters: k.MaxWaiters,
		MaxKeyLength: k.MaxKeyLength, RetryAfter: int64(k.RetryAfter), Retain: map[string]int64{}}}
	for _, r := range k.RuleSets {
		x.Terms.Retain[r.Name] = int64(r.Retain)
	}
	if k.Folder != "" {
		x.File = filepath.Join(k.Folder, "keys.ledger")
	}
	return x
}

// returnOf is what an operator file sets on coming back.
func returnOf(o *conf.OperatorConfig) *proxy.RecoveryConfig {
	if x := o.Recovery; x != nil {
		return &proxy.RecoveryConfig{Folder: x.Folder, Every: int64(x.SnapshotInterval), Trust: int64(x.MaxObservationAge)}
	}
	return nil
}

// maintenanceOf is what an operator file sets on plans.
func maintenanceOf(o *conf.OperatorConfig) *proxy.MaintenanceConfig {
	if x := o.Maintenance; x != nil {
		return &proxy.MaintenanceConfig{Folder: x.Folder, Voters: x.Voters, Service: x.MinService, Settle: int64(x.SettleTime), Grace: int64(x.DrainGrace)}
	}
	return nil
}

// fleetOf is what an operator file sets on peers, at the addresses that it or the platform's configuration names; nil where neither
// does, or the settings let proxies not tell one another anything. A limit of the fleet is an error then: nobody
// would keep it. A req may run for longest ns.
func fleetOf(op *conf.OperatorConfig, o orders, longest int64) (*proxy.FleetConfig, error) {
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
		if len(o.Peers) == 0 || o.Peer == "" || v.Raw["Ceilings.MayTell"] != "" && !v.Bool("Ceilings.MayTell") {
			if x.Limits != nil {
				return nil, errors.New("fleet.limits: no peers are named, or they may not be told anything")
			}
			return nil, nil
		}
		f.Listen, addrs, me = o.Peer, o.Peers, int(v.Int("Me"))
	}
	for _, a := range addrs {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, fmt.Errorf("peers: %q: expected address:port", a)
		}
		f.Peers = append(f.Peers, at)
	}
	if me < 0 || me >= len(addrs) {
		return nil, fmt.Errorf("settings: Me=%d: expected a place among the %d peers", me, len(addrs))
	}
	f.Terms = x.MemberConfig(me, len(addrs), v.Raw["Ceilings.Probes"] == "" || v.Bool("Ceilings.Probes"))
	f.Terms.Learn = op.LearnConfig()
	if l := x.Limits; l != nil {
		if l.VoterCount > len(addrs) {
			return nil, fmt.Errorf("fleet.limits.voters: %d of %d peers", l.VoterCount, len(addrs))
		}
		f.Limits, f.Voters, f.Drift = l.LeaseLimits(longest), l.VoterCount, l.ClockDriftPPM
		for _, one := range f.Limits {
			if !one.LeaseIsRenewable(len(addrs)) {
				return nil, fmt.Errorf("fleet.limits: %s: the lease is too short for %d members", one.Name, len(addrs))
			}
		}
	}
	if s := x.Probes; s != nil {
		f.ProbePath, f.ProbeTimeout = s.Path, int64(s.Timeout)
	}
	return f, v.Err
}

// library sends nbio's log to logrus.
type library struct{}

func (library) Debug(format string, v ...any) { logrus.Debugf(format, v...) }
func (library) Info(format string, v ...any)  { logrus.Debugf(format, v...) }
func (library) Warn(format string, v ...any)  { logrus.Warnf(format, v...) }
func (library) Error(format string, v ...any) { logrus.Errorf(format, v...) }

func main() {
	if err := commands().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ivybank:", strings.SplitN(err.Error(), "\n", 2)[0])
		code := 2
		if s := (status{}); errors.As(err, &s) {
			code = s.code
		}
		os.Exit(code)
	}
}

// serve is one client proxy from start to end.
func serve(operator string) error {
	// Caught from the first moment: uncaught it ends the program. One that comes before the file is read waits.
	reread := make(chan os.Signal, 1)
	signal.Notify(reread, syscall.SIGHUP)
	path := os.Getenv("GW_CONFIG")
	o, start, err := loadAll(path, operator)
	if err != nil {
		return err
	}
	o.apply()
	logging.SetLogger(library{})
	// A poller that waits in the kernel holds a processor of Go's until it is taken away from it, so the
	// pollers come on top of the cores.
	runtime.GOMAXPROCS(max(1, int(math.Ceil(o.Limits.Cores))) + pollers)
	if start.Memory > 0 {
		debug.SetMemoryLimit(start.Memory)
	}
	p, err := open(o, start)
	if err != nil {
		return err
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-term
		p.Drain()
	}()
	go func() {
		for range reread {
			next, start, err := loadAll(path, operator)
			if err == nil {
				err = follows(o, next)
			}
			if err != nil {
				logrus.Warnf("new configuration ignored: %v", err)
				continue
			}
			o = next
			o.apply()
			p.Reconfigure(start)
		}
	}()
	if err := p.Run(); err != nil {
		return err
	}
	logrus.WithFields(p.FinalCounters()).Info("stopped")
	return nil
}
