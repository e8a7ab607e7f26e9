package lifecycle

import (
	"slices"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
)

// resolveTypes determines which machine types a job may use and how much of a machine a task
// takes up. It is called once the types are known: in the log they may come after the job.
func (c *Component) resolveTypes(j *jobs.Job) {
	if j.Record.Types != nil {
		j.AllowedTypes = make([]bool, max(c.TypeNames.Len(), 1))
		for _, name := range j.Record.Types {
			if index, known := c.TypeNames.Lookup(name); known {
				j.AllowedTypes[index] = true
			}
		}
	}
	j.CPUShare = c.cpuShare(j)
	j.FitsWithoutGPU = false
	for index, machineType := range c.Types {
		if fitsWithoutGPU(j, index, machineType) {
			j.FitsWithoutGPU = true
			break
		}
	}
}

// typeAllowed reports whether a job may use the machine type with the given index.
func typeAllowed(j *jobs.Job, index int) bool {
	return j.AllowedTypes == nil || (index < len(j.AllowedTypes) && j.AllowedTypes[index])
}

// fitsWithoutGPU reports whether a machine type has no accelerators, may be used by a job and
// has room for one of its tasks.
func fitsWithoutGPU(j *jobs.Job, index int, machineType eventlog.MachineType) bool {
	if machineType.GPUs != 0 || !typeAllowed(j, index) {
		return false
	}
	if j.Record.Zone != "" && !slices.Contains(machineType.Zones, j.Record.Zone) {
		return false
	}
	return j.Need.Fits(resources.Room(machineType.CPUs, 0, machineType.MemoryGB))
}

// cpuShare returns how many processors of a machine a task takes up, including those that its
// use of memory or accelerators makes unusable for others. It is the minimum over the allowed
// machine types.
func (c *Component) cpuShare(j *jobs.Job) float64 {
	best := j.Record.CPUs
	found := false
	for index, machineType := range c.Types {
		room := resources.Room(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
		tasks := scheduler.TasksThatFit(j.Need, room)
		if tasks <= 0 || !typeAllowed(j, index) {
			continue
		}
		share := machineType.CPUs / float64(tasks)
		if !found || share < best {
			best, found = share, true
		}
	}
	return max(best, j.Record.CPUs)
}
