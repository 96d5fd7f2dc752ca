package limit

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

// statsInterval is how often a router logs the usage of limits.
const statsInterval = time.Second

// usageStats counts what was admitted and rejected under one limit, in requests or in the unit of the limit.
type usageStats struct {
	OwnerUse        float64 // granted by the owner for the request itself
	PrefetchedUse   float64 // prefetched or returned quota that was used later
	SpareUse        float64 // admitted without an owner, from spare quota
	Returned        float64 // returned by requests that have not run
	OwnerRequests   int     // requests to owners
	OwnerTimeouts   int     // requests to owners that timed out
	RejectedByOwner int     // requests rejected by an owner
	RejectedNoOwner int     // requests rejected because no owner answered
}

// isNoteworthy reports whether an owner failed to answer or a request was handled without one.
func (s *usageStats) isNoteworthy() bool {
	return s.OwnerTimeouts > 0 || s.SpareUse > 0 || s.RejectedNoOwner > 0
}

// statsFor returns the counters of a limit for the current interval. The caller holds l.mu.
func (l *Limiter) statsFor(key limitKey) *usageStats {
	s := l.stats[key]
	if s == nil {
		s = &usageStats{}
		l.stats[key] = s
	}
	return s
}

// takeStats returns the counters of all limits since its last call and resets them.
func (l *Limiter) takeStats() map[limitKey]*usageStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	l.stats = map[limitKey]*usageStats{}
	return stats
}

// Report logs each limit for which an owner did not answer, once per interval, until the context ends.
func (l *Limiter) Report(ctx context.Context, log hclog.Logger) {
	ticker := time.NewTicker(statsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		stats := l.takeStats()
		for key, s := range stats {
			if !s.isNoteworthy() {
				continue
			}
			log.Info("owner of a limit did not answer", "tenant", key.tenant, "service", key.service,
				"owner_use", s.OwnerUse, "ahead_use", s.PrefetchedUse,
				"local_use", s.SpareUse, "given_back", s.Returned, "asked", s.OwnerRequests, "unanswered", s.OwnerTimeouts,
				"refused_by_owner", s.RejectedByOwner, "refused_absent", s.RejectedNoOwner)
		}
	}
}
