package settings

// Smallest limits that suffice for a write: the value must hold an entry with names of usual length, and
// the transaction must be able to close one segment of the event log, open the next and remove a third.
const (
	minValueKB = 0.5
	minTxnOps  = 3

	baseEntryBytes  = 420 // size of a value with a job's entry, without the names that come from the settings
	minLeaseReports = 3   // fewest report intervals that a worker's lease must last
)

// WriteLimits returns the limits that every write must respect: of each limit the smaller of the value in
// force and the announced one, because the time of the change is not announced.
func (p *Platform) WriteLimits() StateLimits {
	limits := p.Deployment.State.StateLimits
	if next := p.Deployment.State.Next; next != nil {
		if next.WriteRPS != nil {
			limits.WriteRPS = min(limits.WriteRPS, *next.WriteRPS)
		}
		if next.ValueKB != nil {
			limits.ValueKB = min(limits.ValueKB, *next.ValueKB)
		}
		if next.TxnOps != nil {
			limits.TxnOps = min(limits.TxnOps, *next.TxnOps)
		}
	}
	return limits
}

// check returns an error for the first invalid limit; field is the prefix of field names in its errors.
func (l StateLimits) check(field string) error {
	switch {
	case !(l.WriteRPS > 0) || l.WriteRPS > 1e12:
		return newFieldError(field+".write_rps", "must be a positive number, is %v", l.WriteRPS)
	case !(l.ValueKB >= minValueKB) || l.ValueKB > 1e6:
		return newFieldError(field+".value_kb", "must be at least %v, is %v", minValueKB, l.ValueKB)
	case l.TxnOps < minTxnOps:
		return newFieldError(field+".txn_ops", "must be at least %d, is %d", minTxnOps, l.TxnOps)
	}
	return nil
}

// maxEntryBytes returns the most bytes that an entry of the event log may take in this deployment: those of
// a job's entry with the longest names that occur in the settings.
func (p *Platform) maxEntryBytes() int {
	team, class, zone := 0, 0, 0
	for _, t := range p.Deployment.Teams {
		team = max(team, len(t.Name))
	}
	for _, o := range p.Deployment.Objectives {
		class = max(class, len(o.Class))
	}
	for _, z := range p.Deployment.Zones {
		zone = max(zone, len(z))
	}
	return baseEntryBytes + team + class + zone
}

// CheckTeamName returns an error if a team's name is so long that the team's jobs could not be stored.
func (p *Platform) CheckTeamName(name string) error {
	least := min(p.Deployment.State.ValueKB, p.WriteLimits().ValueKB)
	if entry := p.maxEntryBytes() + len(name); least*1024 < float64(entry) {
		return newFieldError("team", "a name of %d bytes is too long: an entry would take %d bytes, and a value has %v KiB",
			len(name), entry, least)
	}
	return nil
}

// CheckServable returns an error for a setting with which a controller can start but cannot serve the fleet
// well. check-config refuses such settings. A controller that is started with them logs the error and
// serves as well as it can.
func (p *Platform) CheckServable() error {
	workers := p.Deployment.Workers
	if least := minLeaseReports * workers.ReportS; workers.LeaseS < least {
		return newFieldError("deployment.workers.lease_s",
			"must be at least %d report intervals, %v s, is %v s: a worker would lose its tasks after two lost reports",
			minLeaseReports, least, workers.LeaseS)
	}
	field := "deployment.state"
	for _, kb := range []float64{p.Deployment.State.ValueKB, p.WriteLimits().ValueKB} {
		if entry := p.maxEntryBytes(); kb*1024 < float64(entry) {
			return newFieldError(field+".value_kb",
				"%v KiB is too small for one entry, which takes up to %d bytes with the names of this deployment", kb, entry)
		}
		field = "deployment.state.next"
	}
	return nil
}
