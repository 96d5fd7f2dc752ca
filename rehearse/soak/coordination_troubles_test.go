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

// changes are the calls that are acknowledged once they are on a majority's disks.
var changes = []string{"Locks.Begin", "Locks.Heartbeat", "Locks.Finish", "numbers", "Cells.Replace"}

const (
	statusPatience = 300 * time.Millisecond
	// trapPatience is how long a trap waits for its call.
	trapPatience = 2 * time.Second
	trapSprang   = "a trap sprang"
)

// coordinationTroubles are those that the parts are played under.
func coordinationTroubles(w *witness) []trouble {
	return []trouble{
		{"freeze a leader amid a grant", 5, func(s *series, r *rand.Rand) {
			m, delay, lasts := s.anyLeader(r), time.Duration(r.IntN(4000))*time.Microsecond, span(r, 300, 2500)
			s.upon(w, &trap{verbs: []string{"Locks.Begin"}}, func() {
				time.Sleep(delay)
				s.freeze(m, lasts)
			})
		}},
		{"kill a leader right after an acknowledgement", 5, func(s *series, r *rand.Rand) {
			m, back := s.anyLeader(r), span(r, 50, 1500)
			s.upon(w, &trap{answered: true, verbs: changes}, func() { s.kill(m, controlRole, back) })
		}},
		{"kill all right after an acknowledgement", 2, func(s *series, r *rand.Rand) {
			back := span(r, 50, 600)
			s.upon(w, &trap{answered: true, verbs: changes}, func() { s.killAll(back) })
		}},
		{"lose disks and all power right after an acknowledgement", 2, func(s *series, r *rand.Rand) {
			s.loseDisksUponAcknowledgement(w, r)
		}},
		{"kill control processes in a row", 2, func(s *series, r *rand.Rand) {
			for _, m := range s.fleet.alive(true) {
				s.kill(m, controlRole, 300*time.Millisecond)
				s.sleep(span(r, 100, 900))
			}
		}},
		{"stop a leader", 3, func(s *series, r *rand.Rand) { s.signal(s.anyLeader(r), syscall.SIGTERM, span(r, 0, 300)) }},
		{"stop control processes in a row", 3, func(s *series, r *rand.Rand) {
			for _, m := range s.fleet.alive(true) {
				s.signal(m, syscall.SIGTERM, span(r, 0, 200))
				s.sleep(span(r, 200, 1200))
			}
		}},
		{"freeze a control process", 2, func(s *series, r *rand.Rand) { s.freeze(s.anyControl(r), span(r, 100, 2500)) }},
		{"cut a control process off", 4, func(s *series, r *rand.Rand) {
			s.part(s.anyControl(r), s.fleet.alive(true), span(r, 500, 4000), 1+r.IntN(2), r.IntN(2) == 0)
		}},
		{"cut a leader off from the others, not from callers", 3, func(s *series, r *rand.Rand) {
			s.part(s.anyLeader(r), s.fleet.alive(true), span(r, 800, 2500), 2, false)
		}},
		{"cut all control processes apart", 1, func(s *series, r *rand.Rand) {
			lasts := span(r, 300, 1500)
			for _, m := range s.fleet.alive(true) {
				s.part(m, s.fleet.alive(true), lasts, 2, false)
			}
		}},
		{"reset connections", 2, func(s *series, r *rand.Rand) {
			m := s.anyControl(r)
			for _, other := range s.fleet.alive(true) {
				s.fleet.network.reset(way{m.number, other.number})
				s.fleet.network.reset(way{other.number, m.number})
			}
		}},
		{"lose disks", 3, func(s *series, r *rand.Rand) { s.loseDisks(r, span(r, 100, 1000)) }},
	}
}

// upon lays a trap, and waits until what it does is done. Where nothing has come for too long, the trap is lifted.
func (s *series) upon(w *witness, t *trap, do func()) {
	done := make(chan struct{})
	t.spring = func() {
		do()
		close(done)
	}
	w.set(t)
	select {
	case <-done:
		s.count(trapSprang)
	case <-time.After(trapPatience):
		if !w.lift(t) {
			<-done
		}
	}
}

func (s *series) killAll(back time.Duration) {
	for _, m := range s.fleet.alive(true) {
		s.kill(m, controlRole, back)
	}
}

// anyLeader gives a machine that leads some part, any one where none is heard of.
func (s *series) anyLeader(r *rand.Rand) *machine {
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

// loseDisks has as many disks lost at once as the fleet tolerates.
func (s *series) loseDisks(r *rand.Rand, back time.Duration) {
	if !s.mayLoseDisk() {
		return
	}
	for _, m := range s.lots(r) {
		s.open.Go(func() { s.wipe(m, back) })
	}
}

// loseDisksUponAcknowledgement takes as many disks as the fleet tolerates, and ends all other processes at the same moment.
func (s *series) loseDisksUponAcknowledgement(w *witness, r *rand.Rand) {
	lots, back := s.lots(r), span(r, 100, 600)
	if !s.mayLoseDisk() {
		return
	}
	s.upon(w, &trap{answered: true, verbs: changes}, func() {
		s.killAll(back)
		for _, m := range lots {
			s.wipe(m, back)
		}
		s.count("disks were lost and all others ended")
	})
}

// lots draws as many machines as may fail at once.
func (s *series) lots(r *rand.Rand) []*machine {
	all := s.fleet.alive(true)
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:s.fleet.rules.tolerate]
}

// status asks a control process what it knows.
func (f *fleet) status(ctx context.Context, m *machine) (s control.Status, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, statusPatience)
	defer cancel()
	status, body := call(ctx, m, http.MethodGet, "/v1/Status", 0, nil)
	return s, status == http.StatusOK && json.Unmarshal(body, &s) == nil
}

// partsAreWhole says whether each process is a member of each part, knows its leader, and no other members are left.
func (f *fleet) partsAreWhole(ctx context.Context) bool {
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
