package router

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
)

// figuresInterval is how often a router logs what it counted against limits.
const figuresInterval = time.Second

// limitFigures says on which ground requests of one tenant were let in or refused, in requests and in the tenant's unit.
type limitFigures struct {
	OwnerUse      float64 // granted by the owner for a request at hand
	AheadUse      float64 // drawn ahead or given back, used later
	LocalUse      float64 // let in without an owner
	GivenBack     float64 // of requests that have not run
	Asked         int     // questions to owners
	Unanswered    int     // of these, without an answer in time
	RefusedOwner  int     // requests that an owner's answer refused
	RefusedAbsent int     // requests refused for want of an owner
}

// isNoteworthy says whether something happened without an owner, or did not run.
func (f *limitFigures) isNoteworthy() bool {
	return f.Unanswered > 0 || f.LocalUse > 0 || f.RefusedAbsent > 0
}

// figuresOf gives the figures of a tenant in this interval. The caller holds l.mu.
func (l *limiter) figuresOf(tenant string) *limitFigures {
	f := l.figures[tenant]
	if f == nil {
		f = &limitFigures{}
		l.figures[tenant] = f
	}
	return f
}

// takeFigures gives the figures of all tenants since it was called last.
func (l *limiter) takeFigures() map[string]*limitFigures {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.figures
	l.figures = map[string]*limitFigures{}
	return taken
}

// reportFigures logs, until the context ends, each tenant for which an owner was missed.
func (l *limiter) reportFigures(ctx context.Context, log hclog.Logger) {
	ticker := time.NewTicker(figuresInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		figures := l.takeFigures()
		for _, tenant := range slices.Sorted(maps.Keys(figures)) {
			f := figures[tenant]
			if !f.isNoteworthy() {
				continue
			}
			log.Info("limit without its owner", "tenant", tenant, "owner_use", f.OwnerUse, "ahead_use", f.AheadUse,
				"local_use", f.LocalUse, "given_back", f.GivenBack, "asked", f.Asked, "unanswered", f.Unanswered,
				"refused_by_owner", f.RefusedOwner, "refused_absent", f.RefusedAbsent)
		}
	}
}
