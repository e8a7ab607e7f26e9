package registry

import (
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// detectFailures looks after every machine: silent ones, boots that take too long,
// spot notices, tasks that were to be stopped and are still there.
func (d *Component) detectFailures(now time.Duration, leaseValid bool) {
	w := d.Cfg.Deployment.Workers
	limit := d.GiveUpAfter()
	deaf := d.MostMachinesSilent(now)
	if deaf {
		// Most of them at once: the fault is more likely on our side.
		limit = max(limit, settings.Seconds(1.2*w.LeaseS))
	}
	d.trackZoneOutages(now, deaf)
	d.zoneReachable = d.reachableZones(now)
	overdue := settings.Seconds(0.5 * w.CancelS)
	var late []*jobs.Job // being cancelled for longer than tasks may take to stop
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Cancelling && now-j.CancelAskedAt > overdue {
			late = append(late, j)
		}
	}
	for _, m := range slices.Clone(d.Inventory.All()) {
		if m.Deleting {
			continue
		}
		heard := max(m.LastHeartbeat, d.TermBegan)
		if now-heard > d.SuspectAfter() {
			d.CancelPlans(m)
		}
		switch {
		case leaseValid && slices.ContainsFunc(late, func(j *jobs.Job) bool { return d.mayHaveTaskOn(j, m) }):
			// The deletion will prove it. Without being sure of the term its user could not be
			// told so.
			d.Decommission(now, m, cluster.Delete, "a cancelled job's task not proved gone")
		case leaseValid && !deaf && now-heard > d.SuspectAfter() && d.hasOnlyCancelledTasks(m):
			d.Decommission(now, m, cluster.Delete, "silent, with nothing but cancelled jobs' tasks")
		case leaseValid && !m.Up && m.Durable && now-d.TermBegan <= d.SilenceAllowance(): // it may live, and be on its way here
		case leaseValid && (m.Up || m.Durable) && now-heard > limit && d.toleratesSilence(now, m): // with its whole zone
		case leaseValid && m.Durable && d.probesUnanswered(m, heard):
			d.Decommission(now, m, cluster.Delete, "does not answer")
		case leaseValid && (m.Up || m.Durable) && now-heard > limit:
			d.Decommission(now, m, cluster.Delete, "silent")
		case leaseValid && !m.Up && !m.Durable && now-m.RentedAt > settings.Seconds(d.Cfg.Tunables.BootGiveUpTimes*d.Types[m.Type].BootS)+bootGracePeriod:
			d.Decommission(now, m, cluster.Delete, "never came up")
		case leaseValid && m.Quarantined:
			d.Decommission(now, m, cluster.Delete, "a start sent to it may be carried out by its next life")
		case leaseValid && m.Unreachable(now, settings.Seconds(1.2*w.LeaseS)):
			d.Decommission(now, m, cluster.Delete, "does not hear")
		case m.PreemptionNotice && now > m.PreemptedAt:
			d.Decommission(now, m, cluster.Return, "taken by the cloud")
		case m.PreemptionNotice && len(m.Tasks) == 0:
			d.Decommission(now, m, cluster.Return, "to be taken by the cloud")
		case len(m.Orphans) > 0 && now-m.OrphansSince > overdue:
			d.Decommission(now, m, cluster.Delete, "tasks that do not stop")
		}
		if !m.PreemptionNotice && !m.Draining {
			continue // nothing that is on it is of any interest here
		}
		for _, p := range m.Tasks {
			j := d.Jobs.At(p.Ref.Job)
			if p.Planned || p.Stopping {
				continue
			}
			left := m.PreemptedAt - now
			switch {
			case j.Record.Kind == jobs.Service && (m.PreemptionNotice || m.Draining):
				p.Stopping, p.GraceSeconds = true, j.Record.SaveS // replaced elsewhere once it is gone
			case m.PreemptionNotice && j.Record.Checkpoint > 0 && p.State == workers.Running && left < settings.Seconds(j.Record.SaveS+2+1.5*w.ReportS+d.PeerTime(j)):
				d.SaveAndStop(now, j, p)
			}
		}
	}
}

// mayHaveTaskOn says whether a job may have a task on a machine, as far as is proved.
func (d *Component) mayHaveTaskOn(j *jobs.Job, m *workers.Machine) bool {
	if m.Unresolved() {
		return d.MayRunUnseen(j) && m.MayHaveTasksOf(j.Record.ID)
	}
	for _, p := range m.Tasks {
		if p.Ref.Job == j.Index && !p.Planned {
			return true
		}
	}
	return false
}

// hasOnlyCancelledTasks says whether all that counts as being on a machine is of jobs that are being
// cancelled: then nothing is lost with it, and their users wait.
func (d *Component) hasOnlyCancelledTasks(m *workers.Machine) bool {
	if len(m.Tasks) == 0 || m.Unresolved() {
		return false
	}
	for _, p := range m.Tasks {
		if d.Jobs.At(p.Ref.Job).Phase != jobs.Cancelling {
			return false
		}
	}
	return true
}

// probesUnanswered says whether a machine has been asked often enough while it was silent, and its zone
// is heard: it is given up before others.
func (d *Component) probesUnanswered(m *workers.Machine, heard time.Duration) bool {
	most := d.Cfg.Tunables.AskSilent
	return most > 0 && m.Unanswered >= most && m.UnansweredAt >= heard && int(m.Zone) < len(d.zoneReachable) && d.zoneReachable[m.Zone]
}

// reachableZones says which zones are heard well: of a zone that is not, machines are no more
// likely dead than cut off.
func (d *Component) reachableZones(now time.Duration) []bool {
	if d.Cfg.Tunables.AskSilent == 0 || !d.Cfg.AnyNeedsDispatch() {
		return nil
	}
	up, silent := make([]int, d.Zones.Len()), make([]int, d.Zones.Len())
	for _, m := range d.Inventory.All() {
		if m.Durable && !m.Deleting {
			up[m.Zone]++
			if now-max(m.LastHeartbeat, d.TermBegan) > settings.Seconds(1.25*d.Cfg.Deployment.Workers.ReportS) {
				silent[m.Zone]++
			}
		}
	}
	well := make([]bool, len(up))
	for z := range up {
		well[z] = silent[z]*minReachableRatio <= up[z]
	}
	return well
}

// wellHeard: a zone is if at most one in so many of its machines is late.
const minReachableRatio = 5

// zoneOutage is what is known of a zone that is silent as a whole, or was until lately.
type zoneOutage struct {
	beganAt, lastSeenAt time.Duration // from when to when; until 0: never
}

// trackZoneOutages notes which zones are silent as a whole: most of their machines are, while
// others are heard.
func (d *Component) trackZoneOutages(now time.Duration, deaf bool) {
	if d.Cfg.Tunables.ZonePatienceS == 0 {
		return
	}
	up, silent := d.SilentByZone(now)
	for len(d.zoneOutages) < len(up) {
		d.zoneOutages = append(d.zoneOutages, zoneOutage{})
	}
	for z := range up {
		if c := &d.zoneOutages[z]; !deaf && cluster.MostSilent(silent[z], up[z]) && d.zoneHasPeer(z) {
			if c.lastSeenAt == 0 || now-c.lastSeenAt > d.GiveUpAfter() {
				c.beganAt = now - d.SuspectAfter()
				d.LogMessage(effects.Warn, "a zone is silent as a whole: its machines are waited for", "zone", d.Zones.Name(int32(z)), "silent", silent[z], "of", up[z], "for", d.Cfg.Tunables.ZonePatienceS)
			}
			c.lastSeenAt = now
		}
	}
}

// zoneHasPeer says whether another controller is in a zone, which may keep its workers alive
// while it is cut off. Found on a day on which there was none: all leases ran out there,
// and their machines were waited for in vain.
func (d *Component) zoneHasPeer(zone int) bool {
	name := d.Zones.Name(int32(zone))
	return slices.ContainsFunc(d.Cfg.Peers, func(p settings.Peer) bool { return p.Zone == name })
}

// toleratesSilence says whether a silent machine is waited for with its whole zone: for a bounded
// time, and for as long as any machine has to come back after that time or the cut's end.
// One whose tasks are not known is not waited for where it takes much of a team's limit:
// until it is resolved, nothing of that team may start. Found on days with a zone cut for
// longer than a machine is usually waited for: all that ran there was started again, on
// machines that had to be rented first, while there it went on to its end.
func (d *Component) toleratesSilence(now time.Duration, m *workers.Machine) bool {
	if int(m.Zone) >= len(d.zoneOutages) {
		return false
	}
	c := d.zoneOutages[m.Zone]
	if c.lastSeenAt == 0 || now-c.lastSeenAt > d.GiveUpAfter() || now-c.beganAt > settings.Seconds(d.Cfg.Tunables.ZonePatienceS)+d.GiveUpAfter() || (c.lastSeenAt == now && now-c.beganAt > settings.Seconds(d.Cfg.Tunables.ZonePatienceS)) {
		return false
	}
	return !m.Unresolved() || !d.HeldBackByUnresolved()
}
