package registry

import (
	"slices"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

const (
	// A zone is reachable if at most one in so many of its machines is late.
	minReachableRatio = 5

	// A machine is late once its heartbeat is overdue by a quarter of the interval.
	lateHeartbeatFactor = 1.25
)

// zoneOutage is what is known of a zone that is silent as a whole, or was until lately.
type zoneOutage struct {
	beganAt    time.Duration
	lastSeenAt time.Duration // when the outage was last observed; 0: never
}

// reachableZones says which zones are reachable, by zone: in one that is not, machines are
// no more likely dead than cut off. It is nil where silent machines are not probed.
func (d *Component) reachableZones(now time.Duration) []bool {
	if d.Cfg.Tunables.ProbeSilent == 0 || !d.Cfg.AnyNeedsDispatch() {
		return nil
	}
	lateAfter := settings.Seconds(lateHeartbeatFactor * d.Cfg.Deployment.Workers.ReportS)
	registered, late := make([]int, d.Zones.Len()), make([]int, d.Zones.Len())
	for _, m := range d.Inventory.All() {
		if !m.Durable || m.Deleting {
			continue
		}
		registered[m.Zone]++
		if now-d.lastHeard(m) > lateAfter {
			late[m.Zone]++
		}
	}
	reachable := make([]bool, len(registered))
	for zone := range registered {
		reachable[zone] = late[zone]*minReachableRatio <= registered[zone]
	}
	return reachable
}

// trackZoneOutages notes which zones are silent as a whole: most of their machines are,
// while others are heard.
func (d *Component) trackZoneOutages(now time.Duration, mostSilent bool) {
	if d.Cfg.Tunables.ZonePatienceS == 0 {
		return
	}
	up, silent := d.SilentByZone(now)
	for len(d.zoneOutages) < len(up) {
		d.zoneOutages = append(d.zoneOutages, zoneOutage{})
	}
	for zone := range up {
		if mostSilent || !cluster.MostSilent(silent[zone], up[zone]) || !d.zoneHasPeer(zone) {
			continue
		}
		outage := &d.zoneOutages[zone]
		if outage.lastSeenAt == 0 || now-outage.lastSeenAt > d.GiveUpAfter() {
			outage.beganAt = now - d.SuspectAfter()
			d.LogMessage(effects.Warn, "zone silent, waiting for its machines",
				"zone", d.Zones.Name(int32(zone)), "silent", silent[zone], "of", up[zone], "for", d.Cfg.Tunables.ZonePatienceS)
		}
		outage.lastSeenAt = now
	}
}

// zoneHasPeer says whether another controller is in a zone, which may keep its workers alive
// during an outage. Found on a day on which there was none: all leases ran out there, and
// their machines were waited for in vain.
func (d *Component) zoneHasPeer(zone int) bool {
	name := d.Zones.Name(int32(zone))
	return slices.ContainsFunc(d.Cfg.Peers, func(p settings.Peer) bool { return p.Zone == name })
}

// toleratesSilence says whether a silent machine is waited for with its whole zone: for a
// bounded time, and for as long as any machine has to come back after that time or the
// outage's end. One whose tasks are not known is not waited for where it takes much of a
// team's limit: until it is resolved, nothing of that team may start. Found on days with a
// zone cut off for longer than a machine is usually waited for: all that ran there was
// started again, on machines that had to be rented first, while there it went on to its end.
func (d *Component) toleratesSilence(now time.Duration, m *workers.Machine) bool {
	if int(m.Zone) >= len(d.zoneOutages) {
		return false
	}
	outage := d.zoneOutages[m.Zone]
	if outage.lastSeenAt == 0 || now-outage.lastSeenAt > d.GiveUpAfter() {
		return false // there is none, or it ended long enough ago
	}
	patience := settings.Seconds(d.Cfg.Tunables.ZonePatienceS)
	if outage.lastSeenAt == now {
		if now-outage.beganAt > patience {
			return false // it goes on for too long
		}
	}
	if now-outage.beganAt > patience+d.GiveUpAfter() {
		return false
	}
	return !m.Unresolved() || !d.HeldBackByUnresolved()
}
