package fleet

// This file holds what members observed at servers: lost dispatches and results of probes, and which servers get a
// reduced share because of them. One member's report alone never reduces a server's share at others, and nothing
// here ejects a server.

import (
	"cmp"
	"slices"

	"ivybank/fleet/peer"
	"ivybank/internal/decay"
)

const (
	// A member reports a server when it lost at least this many dispatches and this part of all dispatches to it
	// within lossWindow.
	minLost      = 3.0
	minLostPart  = 0.5
	lossWindow   = 1 * sec // decay time of the counts of dispatches
	reportMaxAge = 3 * sec // how long a report of losses counts
	probeMaxAge  = 5 * sec // how long the result of a probe counts
	maxReporters = 4       // newest reports kept per server
	minReporters = 2       // members that have to report the same server
	// Reports of a member that reports more than this part of all servers are ignored: its own link is probably
	// broken.
	maxReportedPart   = 0.34
	reducedShare      = 0.5  // factor on the share of a server that minReporters members report,
	lowestShare       = 0.25 // and of one that more members report
	repeatReportAfter = 500 * ms
)

// report is one member's observation of a server.
type report struct {
	member      int
	observation peer.Observation
	observedAt  int64
	timesSent   int
}

// serverRecord holds what is known of one server.
type serverRecord struct {
	id              string
	hash            uint32
	sent, lost      decay.Counter
	lastServed      int64    // time of the latest dispatch of this member that was served
	reports, probes []report // at most one per member; removed as they age
}

// serverReports holds the records of all listed servers.
type serverReports struct {
	servers []serverRecord // sorted by id
	byHash  map[uint32]int // index of each server; -1 if two share a hash
}

// setServers sets the listed servers.
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

// idOf returns the id of the server with a hash, or "" if there is none or more than one.
func (w *serverReports) idOf(hash uint32) string {
	if i, ok := w.byHash[hash]; ok && i >= 0 {
		return w.servers[i].id
	}
	return ""
}

func (w *serverReports) find(id string) *serverRecord {
	i, found := slices.BinarySearchFunc(w.servers, id, func(m serverRecord, id string) int {
		return cmp.Compare(m.id, id)
	})
	if !found {
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
		m.probes = insertReport(m.probes, report{member: member, observation: observation, observedAt: now})
	}
}

// insertReport keeps the newest report of each member, and those of the maxReporters newest members.
func insertReport(all []report, r report) []report {
	if i := slices.IndexFunc(all, func(x report) bool { return x.member == r.member }); i >= 0 {
		// The same report received again by another route is not newer.
		if r.observedAt > all[i].observedAt+10*ms || r.observation != all[i].observation &&
			r.observedAt >= all[i].observedAt {
			all[i] = r
		}
		return all
	}
	all = append(all, r)
	if len(all) > maxReporters {
		oldest := 0
		for i := range all {
			if all[i].observedAt < all[oldest].observedAt {
				oldest = i
			}
		}
		all = slices.Delete(all, oldest, oldest+1)
	}
	return all
}

// receiveHint records a hint. For the result of a probe it returns the server and the probe's time.
func (w *serverReports) receiveHint(h peer.Hint, now int64) (id string, probedAt int64, probe bool) {
	i, ok := w.byHash[h.Server]
	if !ok || i < 0 {
		return "", 0, false
	}
	m := &w.servers[i]
	r := report{member: h.Origin, observation: h.Observation, observedAt: now - peer.Nanoseconds(h.Age)}
	if h.Observation == peer.DispatchesLost {
		if now-r.observedAt < reportMaxAge {
			m.reports = insertReport(m.reports, r)
		}
		return "", 0, false
	}
	if now-r.observedAt < probeMaxAge {
		m.probes = insertReport(m.probes, r)
	}
	return m.id, r.observedAt, true
}

// updateOwnReports updates what this member itself reports.
func (w *serverReports) updateOwnReports(index int, now int64) {
	for i := range w.servers {
		m := &w.servers[i]
		m.reports = slices.DeleteFunc(m.reports, func(r report) bool { return now-r.observedAt >= reportMaxAge })
		m.probes = slices.DeleteFunc(m.probes, func(r report) bool { return now-r.observedAt >= probeMaxAge })
		lost := m.lost.Now(now, lossWindow)
		if lost < minLost || lost < minLostPart*m.sent.Now(now, lossWindow) {
			continue
		}
		if j := slices.IndexFunc(m.reports, func(r report) bool { return r.member == index }); j < 0 ||
			now-m.reports[j].observedAt >= repeatReportAfter {
			m.reports = insertReport(m.reports, report{member: index, observation: peer.DispatchesLost,
				observedAt: now})
		}
	}
}

// hintsToSend returns the hints that were sent least often, as far as there is room.
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
		hints = append(hints, peer.Hint{Server: x.m.hash, Origin: x.r.member, Observation: x.r.observation,
			Age: peer.Hundredths(now - x.r.observedAt)})
	}
	return hints
}

// shareFactors returns the factors on the shares of reported servers, or nil if there are none. A server that has
// just served this member is not reduced by the reports of others.
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
		var reporters []int // each member counts once
		for _, r := range m.reports {
			if (r.member == index || alive(r.member)) &&
				float64(serversReported[r.member]) <= max(1, maxReportedPart*float64(len(w.servers))) {
				reporters = append(reporters, r.member)
			}
		}
		ownReport := slices.Contains(reporters, index)
		for _, r := range m.probes {
			if r.observation == peer.ProbeUnanswered && (r.member == index || alive(r.member)) &&
				!slices.Contains(reporters, r.member) {
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

// reset discards all reports and counts.
func (w *serverReports) reset() {
	for i := range w.servers {
		m := &w.servers[i]
		m.reports, m.probes, m.sent, m.lost = nil, nil, decay.Counter{}, decay.Counter{}
	}
}
