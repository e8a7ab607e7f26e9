package jobs

// NextWaiting returns the waiting task of the lowest number below limit, or -1.
func (j *Job) NextWaiting(limit int) int {
	for j.waitingCursor < len(j.Tasks) && j.Tasks[j.waitingCursor] != Waiting {
		j.waitingCursor++
	}
	if j.waitingCursor < min(limit, len(j.Tasks)) {
		return j.waitingCursor
	}
	return -1
}

// NextFresh returns the waiting task of the lowest number that no earlier term
// can have started, or -1.
func (j *Job) NextFresh() int {
	for j.freshCursor = max(j.freshCursor, j.FreshFrom); j.freshCursor < len(j.Tasks); j.freshCursor++ {
		if j.Tasks[j.freshCursor] == Waiting {
			return j.freshCursor
		}
	}
	return -1
}

// Place notes that a task was given to a machine.
func (j *Job) Place(k int) {
	j.Tasks[k] = Placed
	j.Waiting--
	j.Placed++
	if j.Waiting == 0 {
		j.StarvedSince = 0
	}
}

// Release notes that a task is proved gone from its machine, uncompleted.
func (j *Job) Release(k int) {
	if j.Tasks[k] != Placed {
		return
	}
	j.Tasks[k] = Waiting
	j.Waiting++
	j.Placed--
	j.waitingCursor, j.freshCursor = min(j.waitingCursor, k), min(j.freshCursor, k)
}

// Complete notes that a task is done; false when it was already.
func (j *Job) Complete(k int) bool {
	switch j.Tasks[k] {
	case Finished, DoneDurably:
		return false
	case Placed:
		j.Placed--
	case Waiting:
		j.Waiting--
	}
	j.Tasks[k] = Finished
	j.Finished++
	return true
}

// MarkDurable notes that a task's completion is durable.
func (j *Job) MarkDurable(k int) {
	j.Complete(k)
	if j.Tasks[k] != DoneDurably {
		j.Tasks[k] = DoneDurably
		j.DurableCount++
	}
}
