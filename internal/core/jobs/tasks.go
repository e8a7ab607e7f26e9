package jobs

// NextWaiting returns the lowest number of a waiting task below limit, or -1.
func (j *Job) NextWaiting(limit int) int {
	for j.waitingCursor < len(j.Tasks) && j.Tasks[j.waitingCursor] != Waiting {
		j.waitingCursor++
	}
	if j.waitingCursor < min(limit, len(j.Tasks)) {
		return j.waitingCursor
	}
	return -1
}

// NextUnassigned returns the lowest number of a waiting task that no earlier term can have started, or -1.
func (j *Job) NextUnassigned() int {
	j.unassignedCursor = max(j.unassignedCursor, j.UnassignedFrom)
	for j.unassignedCursor < len(j.Tasks) && j.Tasks[j.unassignedCursor] != Waiting {
		j.unassignedCursor++
	}
	if j.unassignedCursor < len(j.Tasks) {
		return j.unassignedCursor
	}
	return -1
}

// Place records that a waiting task is planned on a machine, or was found on one.
func (j *Job) Place(task int) {
	j.Tasks[task] = Placed
	j.Waiting--
	j.Placed++
	if j.Waiting == 0 {
		j.StarvedSince = 0
	}
}

// Release records that a placed task is proved to be gone from its machine without a result. The task then
// waits again.
func (j *Job) Release(task int) {
	if j.Tasks[task] != Placed {
		return
	}
	j.Tasks[task] = Waiting
	j.Waiting++
	j.Placed--
	j.waitingCursor = min(j.waitingCursor, task)
	j.unassignedCursor = min(j.unassignedCursor, task)
}

// Complete records that a task is done. It returns false if the task was already done.
func (j *Job) Complete(task int) bool {
	switch j.Tasks[task] {
	case Finished, FinishedDurably:
		return false
	case Placed:
		j.Placed--
	case Waiting:
		j.Waiting--
	}
	j.Tasks[task] = Finished
	j.Finished++
	return true
}

// MarkDurable records that a task's completion is durable, which implies that the task is done.
func (j *Job) MarkDurable(task int) {
	j.Complete(task)
	if j.Tasks[task] != FinishedDurably {
		j.Tasks[task] = FinishedDurably
		j.DurableCount++
	}
}
