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
	minLost           = 3.0     // dispatches lost lately at a server,
	minLostPart       = 0.5     // and this part of all lately, are reported
	lossWindow        = 1 * sec // lately
	reportMaxAge      = 3 * sec // a report counts for so long
	probeMaxAge       = 5 * sec // and the result of a probe
	maxReporters      = 4       // reports that are kept of a server, the newest
	minReporters      = 2       // members that have to say the same
	maxReportedPart   = 0.34    // one who reports more of the servers than this has a trouble of its own
	reducedShare      = 0.5     // part of its share that a server gets of which care is due,
	lowestShare       = 0.25    // and where still more report it
	repeatReportAfter = 500 * ms
)

// report is one member's word on a server.
type report struct {
	member      int
	observation peer.Observation
	at          int64
	timesSent   int
}

// met is what is known of one server.
type serverRecord struct {
	id              string
	hash            uint32
	sent, lost      decay.Counter
	lastServed      int64    // a dispatch of this member was served there
	reports, probes []report // of each member at most one; emptied as they age
}

// wary is the table of servers; it holds those on the list and no others.
type serverReports struct {
	servers []serverRecord // by id
	byHash  map[uint32]int // place of each; -1 where two have the same
}

// list takes the servers that there are.
func (w *serverReports) setServers(ids []string) {
	next := make([]serverRecord, 0, len(ids))
	w.byHash = make(map[uint32]int, len(ids))
	for _, id := range ids {
		m := serverRecord{id: id, hash: peer.ServerHash(id)}
		if old := w.find(id); old != nil {
			m = *old
		}
		if _, taken := w.byHash[m.hash]; taken {
			w.byHash[m.hash] = -1
		} else {
			w.byHash[m.hash] = len(next)
		}
		next = append(next, m)
	}
	w.servers = next
}

// id is the server that a hash stands for; "" where none does, or more than one.
func (w *serverReports) idOf(hash uint32) string {
	if i, ok := w.byHash[hash]; ok && i >= 0 {
		return w.servers[i].id
	}
	return ""
}

func (w *serverReports) find(id string) *serverRecord {
	i, had := slices.BinarySearchFunc(w.servers, id, func(m serverRecord, id string) int { return cmp.Compare(m.id, id) })
	if !had {
		return nil
	}
	return &w.servers[i]
}

func (w *serverReports) dispatched(id string, now int64) {
	if m := w.find(id); m != nil {
		m.sent.Add(now, lossWindow)
	}
}

func (w *serverReports) served(id string, now int64) {
	if m := w.find(id); m != nil {
		m.lastServed = now
	}
}

func (w *serverReports) lost(id string, now int64) {
	if m := w.find(id); m != nil {
		m.lost.Add(now, lossWindow)
	}
}

func (w *serverReports) probed(member int, id string, healthy bool, now int64) {
	if m := w.find(id); m != nil {
		observation := peer.ProbeUnanswered
		if healthy {
			observation = peer.ProbeAnswered
		}
		m.probes = insertReport(m.probes, report{member: member, observation: observation, at: now})
	}
}

// put keeps a member's newest word, and the newest members' words.
func insertReport(all []report, r report) []report {
	if i := slices.IndexFunc(all, func(x report) bool { return x.member == r.member }); i >= 0 {
		if r.at > all[i].at+10*ms || r.observation != all[i].observation && r.at >= all[i].at { // the same once more by another way is not news
			all[i] = r
		}
		return all
	}
	all = append(all, r)
	if len(all) > maxReporters {
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
func (w *serverReports) receiveHint(h peer.Hint, now int64) (id string, at int64, probe bool) {
	i, ok := w.byHash[h.Server]
	if !ok || i < 0 {
		return "", 0, false
	}
	m := &w.servers[i]
	r := report{member: h.Origin, observation: h.Observation, at: now - peer.Nanoseconds(h.Age)}
	if h.Observation == peer.DispatchesLost {
		if now-r.at < reportMaxAge {
			m.reports = insertReport(m.reports, r)
		}
		return "", 0, false
	}
	if now-r.at < probeMaxAge {
		m.probes = insertReport(m.probes, r)
	}
	return m.id, r.at, true
}

// own brings up to date what this member itself has to report.
func (w *serverReports) updateOwnReports(index int, now int64) {
	for i := range w.servers {
		m := &w.servers[i]
		m.reports = slices.DeleteFunc(m.reports, func(r report) bool { return now-r.at >= reportMaxAge })
		m.probes = slices.DeleteFunc(m.probes, func(r report) bool { return now-r.at >= probeMaxAge })
		lost := m.lost.Now(now, lossWindow)
		if lost < minLost || lost < minLostPart*m.sent.Now(now, lossWindow) {
			continue
		}
		if j := slices.IndexFunc(m.reports, func(r report) bool { return r.member == index }); j < 0 || now-m.reports[j].at >= repeatReportAfter {
			m.reports = insertReport(m.reports, report{member: index, observation: peer.DispatchesLost, at: now})
		}
	}
}

// tell adds the hints that went out least often.
func (w *serverReports) hintsToSend(index, maxSends int, room *peer.Room, now int64) (hints []peer.Hint) {
	w.updateOwnReports(index, now)
	type item struct {
		m *serverRecord
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
	all = slices.DeleteFunc(all, func(x item) bool { return x.r.timesSent >= maxSends })
	slices.SortStableFunc(all, func(x, y item) int { return x.r.timesSent - y.r.timesSent })
	for _, x := range all {
		if !room.Hint() {
			break
		}
		x.r.timesSent++
		hints = append(hints, peer.Hint{Server: x.m.hash, Origin: x.r.member, Observation: x.r.observation, Age: peer.Hundredths(now - x.r.at)})
	}
	return hints
}

// care says what part of its share each server gets of which care is due; nil where there is none. A server that has just served
// this member is known better here than by any report.
func (w *serverReports) shareFactors(index int, alive func(int) bool, now int64) (factors map[string]float64) {
	w.updateOwnReports(index, now)
	serversReported := map[int]int{}
	for i := range w.servers {
		for _, r := range w.servers[i].reports {
			serversReported[r.member]++
		}
	}
	for i := range w.servers {
		m := &w.servers[i]
		var reporters []int // each member's word counts once
		for _, r := range m.reports {
			if (r.member == index || alive(r.member)) && float64(serversReported[r.member]) <= max(1, maxReportedPart*float64(len(w.servers))) {
				reporters = append(reporters, r.member)
			}
		}
		ownReport := slices.Contains(reporters, index)
		for _, r := range m.probes {
			if r.observation == peer.ProbeUnanswered && (r.member == index || alive(r.member)) && !slices.Contains(reporters, r.member) {
				reporters = append(reporters, r.member)
			}
		}
		n := len(reporters)
		if n < minReporters || !ownReport && now-m.lastServed < lossWindow {
			continue
		}
		if factors == nil {
			factors = map[string]float64{}
		}
		if factors[m.id] = reducedShare; n > minReporters {
			factors[m.id] = lowestShare
		}
	}
	return factors
}

// forget drops what was heard and met.
func (w *serverReports) reset() {
	for i := range w.servers {
		m := &w.servers[i]
		m.reports, m.probes, m.sent, m.lost = nil, nil, decay.Counter{}, decay.Counter{}
	}
}
