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
	// A zone is reachable if at most one in reachableLateDivisor of its machines is late.
	reachableLateDivisor = 5

	// A machine is late once its heartbeat is overdue by a quarter of the interval.
	lateHeartbeatFactor = 1.25
)

// zoneOutage records a period in which a zone was silent as a whole.
type zoneOutage struct {
	beganAt    time.Duration
	lastSeenAt time.Duration // when the outage was last observed; 0: never
}

// reachableZones reports for each zone whether it is reachable. In an unreachable zone, a silent
// machine is no more likely to be dead than to be cut off. The result is nil if silent machines
// are not probed.
func (c *Component) reachableZones(now time.Duration) []bool {
	if c.Cfg.Tunables.MaxUnansweredProbes == 0 || !c.Cfg.AnyNeedsDispatch() {
		return nil
	}
	lateAfter := settings.Seconds(lateHeartbeatFactor * c.Cfg.Deployment.Workers.ReportS)
	registered, late := make([]int, c.Zones.Len()), make([]int, c.Zones.Len())
	for _, m := range c.Inventory.All() {
		if !m.Durable || m.Deleting {
			continue
		}
		registered[m.Zone]++
		if now-c.lastHeard(m) > lateAfter {
			late[m.Zone]++
		}
	}
	reachable := make([]bool, len(registered))
	for zone := range registered {
		reachable[zone] = late[zone]*reachableLateDivisor <= registered[zone]
	}
	return reachable
}

// trackZoneOutages records which zones are silent as a whole: most of their machines are silent,
// while machines of other zones report.
func (c *Component) trackZoneOutages(now time.Duration, mostSilent bool) {
	if c.Cfg.Tunables.ZonePatienceS == 0 {
		return
	}
	up, silent := c.SilentByZone(now)
	for len(c.zoneOutages) < len(up) {
		c.zoneOutages = append(c.zoneOutages, zoneOutage{})
	}
	for zone := range up {
		if mostSilent || !cluster.MostSilent(silent[zone], up[zone]) || !c.zoneHasPeer(zone) {
			continue
		}
		outage := &c.zoneOutages[zone]
		if outage.lastSeenAt == 0 || now-outage.lastSeenAt > c.LostAfter() {
			outage.beganAt = now - c.SuspectAfter()
			c.LogMessage(effects.Warn, "zone silent, waiting for its machines",
				"zone", c.Zones.Name(int32(zone)), "silent", silent[zone], "of", up[zone], "for", c.Cfg.Tunables.ZonePatienceS)
		}
		outage.lastSeenAt = now
	}
}

// zoneHasPeer reports whether another controller is in a zone and may keep its workers alive
// during an outage. On a day without one, all leases in the zone expired, and waiting for its
// machines was useless.
func (c *Component) zoneHasPeer(zone int) bool {
	name := c.Zones.Name(int32(zone))
	return slices.ContainsFunc(c.Cfg.Peers, func(p settings.Peer) bool { return p.Zone == name })
}

// toleratesSilence reports whether a silent machine is waited for because its whole zone is
// silent. The wait ends once the outage has lasted for the setting zone_patience, or LostAfter
// after the outage has ended, and in any case LostAfter beyond zone_patience. An unresolved
// machine is not waited for if unresolved machines take much of a team's limit, since no task of
// that team may start until they are resolved. On days when a zone was cut off for longer than
// machines are usually waited for, all its tasks were started again on machines that had to be
// rented first, while the original tasks ran to their end.
func (c *Component) toleratesSilence(now time.Duration, m *workers.Machine) bool {
	if int(m.Zone) >= len(c.zoneOutages) {
		return false
	}
	outage := c.zoneOutages[m.Zone]
	if outage.lastSeenAt == 0 || now-outage.lastSeenAt > c.LostAfter() {
		return false // no outage, or it ended long enough ago
	}
	patience := settings.Seconds(c.Cfg.Tunables.ZonePatienceS)
	if outage.lastSeenAt == now {
		if now-outage.beganAt > patience {
			return false // the outage has lasted too long
		}
	}
	if now-outage.beganAt > patience+c.LostAfter() {
		return false
	}
	return !m.Unresolved() || !c.HeldBackByUnresolved()
}
