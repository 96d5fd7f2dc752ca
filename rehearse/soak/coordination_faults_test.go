package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"ivybank/control"
)

// changeVerbs lists the calls that are acknowledged once they are on the disks of a majority.
var changeVerbs = []string{"Locks.Begin", "Locks.Heartbeat", "Locks.Finish", "numbers", "Cells.Replace"}

const (
	statusTimeout = 300 * time.Millisecond
	// triggerTimeout bounds the time that a trigger waits for its call.
	triggerTimeout = 2 * time.Second
	triggerFired   = "a trigger fired"
)

// coordinationFaults returns the faults of the coordination soak.
func coordinationFaults(ck *checker) []fault {
	return []fault{
		{"freeze a leader during a grant", 5, func(s *faultSchedule, r *rand.Rand) {
			m, delay, duration := s.randomLeader(r), time.Duration(r.IntN(4000))*time.Microsecond, randomDuration(r, 300, 2500)
			s.onTrigger(ck, &trigger{verbs: []string{"Locks.Begin"}}, func() {
				time.Sleep(delay)
				s.freeze(m, duration)
			})
		}},
		{"kill a leader right after an acknowledgement", 5, func(s *faultSchedule, r *rand.Rand) {
			m, restartDelay := s.randomLeader(r), randomDuration(r, 50, 1500)
			s.onTrigger(ck, &trigger{answered: true, verbs: changeVerbs}, func() { s.kill(m, controlRole, restartDelay) })
		}},
		{"kill all right after an acknowledgement", 2, func(s *faultSchedule, r *rand.Rand) {
			restartDelay := randomDuration(r, 50, 600)
			s.onTrigger(ck, &trigger{answered: true, verbs: changeVerbs}, func() { s.killAll(restartDelay) })
		}},
		{"lose disks and all power right after an acknowledgement", 2, func(s *faultSchedule, r *rand.Rand) {
			s.loseDisksAfterAcknowledgement(ck, r)
		}},
		{"kill control processes in a row", 2, func(s *faultSchedule, r *rand.Rand) {
			for _, m := range s.fleet.alive(true) {
				s.kill(m, controlRole, 300*time.Millisecond)
				s.sleep(randomDuration(r, 100, 900))
			}
		}},
		{"stop a leader", 3, func(s *faultSchedule, r *rand.Rand) {
			s.signal(s.randomLeader(r), syscall.SIGTERM, randomDuration(r, 0, 300))
		}},
		{"stop control processes in a row", 3, func(s *faultSchedule, r *rand.Rand) {
			for _, m := range s.fleet.alive(true) {
				s.signal(m, syscall.SIGTERM, randomDuration(r, 0, 200))
				s.sleep(randomDuration(r, 200, 1200))
			}
		}},
		{"freeze a control process", 2, func(s *faultSchedule, r *rand.Rand) { s.freeze(s.randomControl(r), randomDuration(r, 100, 2500)) }},
		{"cut a control process off", 4, func(s *faultSchedule, r *rand.Rand) {
			s.partition(s.randomControl(r), s.fleet.alive(true), randomDuration(r, 500, 4000), 1+r.IntN(2), r.IntN(2) == 0)
		}},
		{"cut a leader off from the others, not from callers", 3, func(s *faultSchedule, r *rand.Rand) {
			s.partition(s.randomLeader(r), s.fleet.alive(true), randomDuration(r, 800, 2500), 2, false)
		}},
		{"cut all control processes apart", 1, func(s *faultSchedule, r *rand.Rand) {
			duration := randomDuration(r, 300, 1500)
			for _, m := range s.fleet.alive(true) {
				s.partition(m, s.fleet.alive(true), duration, 2, false)
			}
		}},
		{"reset connections", 2, func(s *faultSchedule, r *rand.Rand) {
			m := s.randomControl(r)
			for _, other := range s.fleet.alive(true) {
				s.fleet.network.reset(link{m.number, other.number})
				s.fleet.network.reset(link{other.number, m.number})
			}
		}},
		{"lose disks", 3, func(s *faultSchedule, r *rand.Rand) { s.loseDisks(r, randomDuration(r, 100, 1000)) }},
	}
}

// onTrigger adds a trigger that runs do, and waits until do has returned. If no matching call comes within
// triggerTimeout, it removes the trigger.
func (s *faultSchedule) onTrigger(ck *checker, t *trigger, do func()) {
	done := make(chan struct{})
	t.fire = func() {
		do()
		close(done)
	}
	ck.addTrigger(t)
	select {
	case <-done:
		s.count(triggerFired)
	case <-time.After(triggerTimeout):
		if !ck.removeTrigger(t) {
			<-done
		}
	}
}

func (s *faultSchedule) killAll(restartDelay time.Duration) {
	for _, m := range s.fleet.alive(true) {
		s.kill(m, controlRole, restartDelay)
	}
}

// randomLeader returns a machine that leads some part, or any machine if none reports that it leads.
func (s *faultSchedule) randomLeader(r *rand.Rand) *machine {
	all := s.fleet.alive(true)
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, m := range all {
		status, ok := s.fleet.status(s.ctx, m)
		for _, p := range status.Parts {
			if ok && p.Leading {
				return m
			}
		}
	}
	return all[0]
}

// loseDisks wipes as many disks at once as the fleet tolerates.
func (s *faultSchedule) loseDisks(r *rand.Rand, restartDelay time.Duration) {
	if !s.canLoseDisk() {
		return
	}
	for _, m := range s.toleratedMachines(r) {
		s.running.Go(func() { s.wipe(m, restartDelay) })
	}
}

// loseDisksAfterAcknowledgement wipes as many disks as the fleet tolerates right after an acknowledgement, and kills
// all other processes at the same moment.
func (s *faultSchedule) loseDisksAfterAcknowledgement(ck *checker, r *rand.Rand) {
	machines, restartDelay := s.toleratedMachines(r), randomDuration(r, 100, 600)
	if !s.canLoseDisk() {
		return
	}
	s.onTrigger(ck, &trigger{answered: true, verbs: changeVerbs}, func() {
		s.killAll(restartDelay)
		for _, m := range machines {
			s.wipe(m, restartDelay)
		}
		s.count("disks were lost and all other processes killed")
	})
}

// toleratedMachines draws as many machines as may fail at once.
func (s *faultSchedule) toleratedMachines(r *rand.Rand) []*machine {
	all := s.fleet.alive(true)
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:s.fleet.options.tolerate]
}

// status asks a control process for its status.
func (f *fleet) status(ctx context.Context, m *machine) (s control.Status, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, body := call(ctx, m, http.MethodGet, "/v1/Status", 0, nil)
	return s, status == http.StatusOK && json.Unmarshal(body, &s) == nil
}

// partsAreHealthy reports whether each process is a member of each part and knows its leader, and no other members are
// left.
func (f *fleet) partsAreHealthy(ctx context.Context) bool {
	all := f.alive(true)
	leading := map[int]bool{}
	for _, m := range all {
		s, ok := f.status(ctx, m)
		if !ok || len(s.Parts) == 0 {
			return false
		}
		for _, p := range s.Parts {
			if !p.Member || p.Leader == "" || p.Members != len(all) {
				return false
			}
			leading[p.Number] = leading[p.Number] || p.Leading
		}
		if len(leading) != len(s.Parts) {
			return false
		}
	}
	for _, led := range leading {
		if !led {
			return false
		}
	}
	return true
}
