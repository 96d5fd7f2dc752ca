package fleet

// This file owns what members have met at servers: reports of dispatches lost, results of probes, and of which servers care is
// due. It must never have one member's word alone make another wary, nor eject anybody.

import (
	"cmp"
	"slices"

	"ivybank/fleet/peer"
	"ivybank/internal/decay"
)

const (
	lostLeast  = 3.0     // dispatches lost lately at a server,
	lostPart   = 0.5     // and this part of all lately, are reported
	lostSpan   = 1 * sec // lately
	hintFor    = 3 * sec // a report counts for so long
	probeFor   = 5 * sec // and the result of a probe
	reporters  = 4       // reports that are kept of a server, the newest
	enough     = 2       // members that have to say the same
	brokenPart = 0.34    // one who reports more of the servers than this has a trouble of its own
	careful    = 0.5     // part of its share that a server gets of which care is due,
	more       = 0.25    // and where still more report it
	tellAgain  = 500 * ms
)

// report is one member's word on a server.
type report struct {
	by   int
	what peer.Observation
	at   int64
	told int
}

// met is what is known of one server.
type met struct {
	id              string
	hash            uint32
	sent, lost      decay.Counter
	good            int64    // a dispatch of this member was served there
	reports, probes []report // of each member at most one; emptied as they age
}

// wary is the table of servers; it holds those on the list and no others.
type wary struct {
	servers []met          // by id
	hashes  map[uint32]int // place of each; -1 where two have the same
}

// list takes the servers that there are.
func (w *wary) list(ids []string) {
	next := make([]met, 0, len(ids))
	w.hashes = make(map[uint32]int, len(ids))
	for _, id := range ids {
		m := met{id: id, hash: peer.ServerHash(id)}
		if old := w.find(id); old != nil {
			m = *old
		}
		if _, taken := w.hashes[m.hash]; taken {
			w.hashes[m.hash] = -1
		} else {
			w.hashes[m.hash] = len(next)
		}
		next = append(next, m)
	}
	w.servers = next
}

// id is the server that a hash stands for; "" where none does, or more than one.
func (w *wary) id(hash uint32) string {
	if i, ok := w.hashes[hash]; ok && i >= 0 {
		return w.servers[i].id
	}
	return ""
}

func (w *wary) find(id string) *met {
	i, had := slices.BinarySearchFunc(w.servers, id, func(m met, id string) int { return cmp.Compare(m.id, id) })
	if !had {
		return nil
	}
	return &w.servers[i]
}

func (w *wary) sent(id string, now int64) {
	if m := w.find(id); m != nil {
		m.sent.Add(now, lostSpan)
	}
}

func (w *wary) served(id string, now int64) {
	if m := w.find(id); m != nil {
		m.good = now
	}
}

func (w *wary) lost(id string, now int64) {
	if m := w.find(id); m != nil {
		m.lost.Add(now, lostSpan)
	}
}

func (w *wary) probed(by int, id string, well bool, now int64) {
	if m := w.find(id); m != nil {
		what := peer.ProbeUnanswered
		if well {
			what = peer.ProbeAnswered
		}
		m.probes = put(m.probes, report{by: by, what: what, at: now})
	}
}

// put keeps a member's newest word, and the newest members' words.
func put(all []report, r report) []report {
	if i := slices.IndexFunc(all, func(x report) bool { return x.by == r.by }); i >= 0 {
		if r.at > all[i].at+10*ms || r.what != all[i].what && r.at >= all[i].at { // the same once more by another way is not news
			all[i] = r
		}
		return all
	}
	all = append(all, r)
	if len(all) > reporters {
		oldest := 0
		for i := range all {
			if all[i].at < all[oldest].at {
				oldest = i
			}
		}
		all = slices.Delete(all, oldest, oldest+1)
	}
	return all
}

// heard takes a hint; it gives the server and the time of a probe.
func (w *wary) heard(h peer.Hint, now int64) (id string, at int64, probe bool) {
	i, ok := w.hashes[h.Server]
	if !ok || i < 0 {
		return "", 0, false
	}
	m := &w.servers[i]
	r := report{by: h.Origin, what: h.Observation, at: now - peer.Nanoseconds(h.Age)}
	if h.Observation == peer.DispatchesLost {
		if now-r.at < hintFor {
			m.reports = put(m.reports, r)
		}
		return "", 0, false
	}
	if now-r.at < probeFor {
		m.probes = put(m.probes, r)
	}
	return m.id, r.at, true
}

// own brings up to date what this member itself has to report.
func (w *wary) own(me int, now int64) {
	for i := range w.servers {
		m := &w.servers[i]
		m.reports = slices.DeleteFunc(m.reports, func(r report) bool { return now-r.at >= hintFor })
		m.probes = slices.DeleteFunc(m.probes, func(r report) bool { return now-r.at >= probeFor })
		lost := m.lost.Now(now, lostSpan)
		if lost < lostLeast || lost < lostPart*m.sent.Now(now, lostSpan) {
			continue
		}
		if j := slices.IndexFunc(m.reports, func(r report) bool { return r.by == me }); j < 0 || now-m.reports[j].at >= tellAgain {
			m.reports = put(m.reports, report{by: me, what: peer.DispatchesLost, at: now})
		}
	}
}

// tell adds the hints that went out least often.
func (w *wary) tell(me, most int, room *peer.Room, now int64) (hints []peer.Hint) {
	w.own(me, now)
	type item struct {
		m *met
		r *report
	}
	var all []item
	for i := range w.servers {
		m := &w.servers[i]
		for j := range m.reports {
			all = append(all, item{m, &m.reports[j]})
		}
		for j := range m.probes {
			all = append(all, item{m, &m.probes[j]})
		}
	}
	all = slices.DeleteFunc(all, func(x item) bool { return x.r.told >= most })
	slices.SortStableFunc(all, func(x, y item) int { return x.r.told - y.r.told })
	for _, x := range all {
		if !room.Hint() {
			break
		}
		x.r.told++
		hints = append(hints, peer.Hint{Server: x.m.hash, Origin: x.r.by, Observation: x.r.what, Age: peer.Hundredths(now - x.r.at)})
	}
	return hints
}

// care says what part of its share each server gets of which care is due; nil where there is none. A server that has just served
// this member is known better here than by any report.
func (w *wary) care(me int, alive func(int) bool, now int64) (parts map[string]float64) {
	w.own(me, now)
	said := map[int]int{}
	for i := range w.servers {
		for _, r := range w.servers[i].reports {
			said[r.by]++
		}
	}
	for i := range w.servers {
		m := &w.servers[i]
		var by []int // each member's word counts once
		for _, r := range m.reports {
			if (r.by == me || alive(r.by)) && float64(said[r.by]) <= max(1, brokenPart*float64(len(w.servers))) {
				by = append(by, r.by)
			}
		}
		mine := slices.Contains(by, me)
		for _, r := range m.probes {
			if r.what == peer.ProbeUnanswered && (r.by == me || alive(r.by)) && !slices.Contains(by, r.by) {
				by = append(by, r.by)
			}
		}
		n := len(by)
		if n < enough || !mine && now-m.good < lostSpan {
			continue
		}
		if parts == nil {
			parts = map[string]float64{}
		}
		if parts[m.id] = careful; n > enough {
			parts[m.id] = more
		}
	}
	return parts
}

// forget drops what was heard and met.
func (w *wary) forget() {
	for i := range w.servers {
		m := &w.servers[i]
		m.reports, m.probes, m.sent, m.lost = nil, nil, decay.Counter{}, decay.Counter{}
	}
}
