package jobs

// HasZoneRule reports whether the job has a rule on the zones of its tasks: all in one zone, or spread.
func (j *Job) HasZoneRule() bool { return j.Record.OneZone || j.Record.Spread }

// MaxTasksPerZone returns how many tasks of a spread job may be in one zone: half of them, rounded up.
func (j *Job) MaxTasksPerZone() int { return (len(j.Tasks) + 1) / 2 }

// ZoneAllows reports whether the job's zone rules allow one more task in a zone, given the zones of its
// placed tasks.
func (j *Job) ZoneAllows(zone int32) bool {
	return j.allowsZone(zone) && (!j.Record.Spread || j.PlacedByZone[zone] < j.MaxTasksPerZone())
}

// ZoneAllowsPlaced reports whether the job's zone rules allow the tasks that are placed in a zone to start
// there, given the zones of its other placed tasks.
func (j *Job) ZoneAllowsPlaced(zone int32) bool {
	return j.allowsZone(zone) && (!j.Record.Spread || j.PlacedByZone[zone] <= j.MaxTasksPerZone())
}

// allowsZone reports whether a job whose tasks must be in one zone has none in another zone.
func (j *Job) allowsZone(zone int32) bool {
	if !j.Record.OneZone {
		return true
	}
	for other, placed := range j.PlacedByZone {
		if placed > 0 && other != zone {
			return false
		}
	}
	return true
}

// CountInZone adds change (1 or -1) to the number of placed tasks in a zone, if the job has a zone rule.
func (j *Job) CountInZone(zone int32, change int) {
	if !j.HasZoneRule() {
		return
	}
	if j.PlacedByZone == nil {
		j.PlacedByZone = map[int32]int{}
	}
	j.PlacedByZone[zone] += change
}
