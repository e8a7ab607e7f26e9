package settings

// What one write needs at least: an entry of usual names, and a transaction that closes one segment of the event
// log, opens the next and removes a third.
const (
	leastValueKB = 0.5
	leastTxnOps  = 3

	entryBytes   = 420 // of a value with a job's entry, without the names that the settings have
	leaseReports = 3   // report intervals that a worker's lease must last
)

// WriteLimits is what every write must keep to: the smaller of the limits in force and of those announced, limit by
// limit, since nobody says when they change.
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

// check says what is wrong with limits; field is where they stand.
func (l StateLimits) check(field string) error {
	switch {
	case !(l.WriteRPS > 0) || l.WriteRPS > 1e12:
		return wrong(field+".write_rps", "must be a positive number, is %v", l.WriteRPS)
	case !(l.ValueKB >= leastValueKB) || l.ValueKB > 1e6:
		return wrong(field+".value_kb", "must be at least %v, is %v", leastValueKB, l.ValueKB)
	case l.TxnOps < leastTxnOps:
		return wrong(field+".txn_ops", "must be at least %d, is %d", leastTxnOps, l.TxnOps)
	}
	return nil
}

// largestEntry is how many bytes an entry of the event log may need in a deployment with these names: a job's
// entry, with the longest names that the settings know.
func (p *Platform) largestEntry() int {
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
	return entryBytes + team + class + zone
}

// CheckTeamName says why a job of a team with this name could not be stored.
func (p *Platform) CheckTeamName(name string) error {
	least := min(p.Deployment.State.ValueKB, p.WriteLimits().ValueKB)
	if entry := p.largestEntry() + len(name); least*1024 < float64(entry) {
		return wrong("team", "a name of %d bytes is too long: an entry would take %d bytes, and a value has %v KiB",
			len(name), entry, least)
	}
	return nil
}

// CheckServable says which setting describes a fleet that a controller can start with but cannot serve well; nil if
// none does. check-config refuses such settings. A controller that is started with them logs it and does what it
// can.
func (p *Platform) CheckServable() error {
	workers := p.Deployment.Workers
	if least := leaseReports * workers.ReportS; workers.LeaseS < least {
		return wrong("deployment.workers.lease_s",
			"must be at least %d reports, %v s, is %v s: a worker would lose its tasks over two lost reports",
			leaseReports, least, workers.LeaseS)
	}
	field := "deployment.state"
	for _, kb := range []float64{p.Deployment.State.ValueKB, p.WriteLimits().ValueKB} {
		if entry := p.largestEntry(); kb*1024 < float64(entry) {
			return wrong(field+".value_kb",
				"%v KiB are too little for one entry, which takes up to %d bytes with the names of this deployment", kb, entry)
		}
		field = "deployment.state.next"
	}
	return nil
}
