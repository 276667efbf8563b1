package entry

import (
	"context"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/request/admission"
)

const (
	// planInterval is the time between two plans of what to admit.
	planInterval = 250 * time.Millisecond
	// planLogInterval is the time between two log lines about the plan of a group while
	// it limits accounts.
	planLogInterval = time.Second
)

// admissionLoop updates the plans of what to admit, and logs what they limit.
func admissionLoop(ctx context.Context, c *admission.Controller, l *events.Log) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	logged := map[string]time.Time{}
	limited := map[string]bool{}
	decides := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.Update()
		for _, s := range c.Levels() {
			if turnsAway := s.TurnedAway > 0; turnsAway || decides[s.Group] {
				logLevels(l, s)
				decides[s.Group] = turnsAway
			}
		}
		for _, p := range c.PlansInForce() {
			limits := len(p.Plan.Limits) > 0
			changed := limits != limited[p.Group]
			if changed || (limits && p.Plan.Basis.Entries > 0 && time.Since(logged[p.Group]) >= planLogInterval) {
				logPlan(l, p)
				logged[p.Group], limited[p.Group] = time.Now(), limits
			}
		}
	}
}

// logLevels logs what urgency decided since the last update.
func logLevels(l *events.Log, s admission.LevelState) {
	l.Info(events.UrgencyDecides, events.Fields{
		"group": s.Group, "turnedAway": s.TurnedAway, "room": s.Room, "slots": s.Slots, "inProgress": s.InProgress,
	})
}

// logPlan logs the limits of a plan and, if this entry made it, what it is based on.
func logPlan(l *events.Log, p admission.GroupPlan) {
	fields := events.Fields{"group": p.Group, "limitedAccounts": len(p.Plan.Limits)}
	if account, limit := p.Plan.Largest(); account != "" {
		fields["account"], fields["limit"], fields["demand"] = account, limit.InFlight, limit.Demand
	}
	if b := p.Plan.Basis; b.Entries > 0 {
		fields["entries"], fields["inFlight"], fields["target"] = b.Entries, b.InFlight, b.Target
		fields["totalDemand"], fields["serviceMs"] = b.Demand, b.ServiceTime.Milliseconds()
	}
	l.Info(events.AccountLimitsChanged, fields)
}
