// Command standin-3 plays cases of the independent review on loopback: it starts the project's own programs with the
// commands of the deploy file, and stand-ins of hosts, clients, the platform and the operator.
//
//	standin-3 CASE RECORD
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

const startTime = 20 * time.Second

// play is what a case needs: the fleet runs, and is served by hosts.
type play struct {
	record  *record
	ledger  *ledger
	fleet   *fleet
	hosts   []*host
	trouble bool
}

var cases = map[string]struct {
	hosts  int
	serve  func(p *play) hostBehaviour
	config func() map[string]any
	run    func(p *play) (int, error)
}{
	"refused": {7, refusedHost, refusedConfig, runRefused},
	"joined":  {4, joinedHost, joinedConfig, runJoined},
	"cut":     {4, cutHost, cutConfig, runCut},
	"early":   {4, nil, earlyConfig, runEarly},
	"flood":   {4, floodHost, floodConfig, runFlood},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(cannotRun)
	}
	status, err := playCase(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
	}
	os.Exit(status)
}

func playCase(name, recordPath string) (int, error) {
	c, ok := cases[name]
	if !ok {
		return cannotRun, fmt.Errorf("no case %q", name)
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return cannotRun, err
	}
	defer r.close()
	p := &play{record: r, ledger: newLedger(r), trouble: os.Getenv("TROUBLE") != "0"}
	list := newPlatform()
	if c.serve == nil {
		err = startEarlyHosts(p, list, c.hosts)
	} else {
		p.hosts, err = startHosts(list, p.ledger, c.hosts, c.serve(p))
	}
	if err != nil {
		return cannotRun, err
	}
	p.fleet, err = startFleet(r, list)
	if p.fleet != nil {
		defer p.fleet.stop()
	}
	if err != nil {
		return cannotRun, err
	}
	until := time.Now().Add(startTime)
	if err := p.fleet.replaceConfig(c.config(), until); err != nil {
		return cannotRun, err
	}
	if err := p.fleet.awaitReady(until); err != nil {
		return cannotRun, err
	}
	time.Sleep(settleTime)
	r.add("the router is ready; disruption: %v", p.trouble)
	status, err := c.run(p)
	if err != nil {
		return cannotRun, err
	}
	if name := p.fleet.ended(); name != "" {
		return cannotRun, fmt.Errorf("%s ended by itself", name)
	}
	return status, nil
}
