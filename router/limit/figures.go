package limit

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

// figuresInterval is how often a router logs what it counted against limits.
const figuresInterval = time.Second

// figures says on which ground requests of one limit were let in or refused, in requests and in the limit's unit.
type figures struct {
	OwnerUse      float64 // granted by the owner for a request at hand
	AheadUse      float64 // drawn ahead or given back, used later
	LocalUse      float64 // let in without an owner, from what was earned before
	GivenBack     float64 // of requests that have not run
	Asked         int     // questions to owners
	Unanswered    int     // of these, without an answer in time
	RefusedOwner  int     // requests that an owner's answer refused
	RefusedAbsent int     // requests refused for want of an owner
}

// isNoteworthy says whether something happened without an owner, or did not run.
func (f *figures) isNoteworthy() bool {
	return f.Unanswered > 0 || f.LocalUse > 0 || f.RefusedAbsent > 0
}

// figuresOf gives the figures of a limit in this interval. The caller holds l.mu.
func (l *Limiter) figuresOf(of subject) *figures {
	f := l.figures[of]
	if f == nil {
		f = &figures{}
		l.figures[of] = f
	}
	return f
}

// takeFigures gives the figures of all limits since it was called last.
func (l *Limiter) takeFigures() map[subject]*figures {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.figures
	l.figures = map[subject]*figures{}
	return taken
}

// Report logs, until the context ends, each limit for which an owner was missed.
func (l *Limiter) Report(ctx context.Context, log hclog.Logger) {
	ticker := time.NewTicker(figuresInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		taken := l.takeFigures()
		for of, f := range taken {
			if !f.isNoteworthy() {
				continue
			}
			log.Info("limit without its owner", "tenant", of.tenant, "service", of.service, "owner_use", f.OwnerUse, "ahead_use", f.AheadUse,
				"local_use", f.LocalUse, "given_back", f.GivenBack, "asked", f.Asked, "unanswered", f.Unanswered,
				"refused_by_owner", f.RefusedOwner, "refused_absent", f.RefusedAbsent)
		}
	}
}
