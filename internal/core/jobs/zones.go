package jobs

// ZoneRule says whether the job restricts where its tasks may be together.
func (j *Job) ZoneRule() bool { return j.Record.OneZone || j.Record.Spread }

// MostInZone is how many tasks of a spread job may be in one zone.
func (j *Job) MostInZone() int { return (len(j.Tasks) + 1) / 2 }

// ZoneAllows says whether one more task may be in a zone, given where the
// placed ones are.
func (j *Job) ZoneAllows(zone int32) bool {
	if j.Record.OneZone {
		for z, n := range j.Zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Record.Spread || j.Zones[zone] < j.MostInZone()
}

// CountInZone counts a task in or out of a zone.
func (j *Job) CountInZone(zone int32, n int) {
	if !j.ZoneRule() {
		return
	}
	if j.Zones == nil {
		j.Zones = map[int32]int{}
	}
	j.Zones[zone] += n
}
