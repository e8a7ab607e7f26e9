package lifecycle

import (
	"slices"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
)

// resolveTypes settles which machine types a job may use and what a task takes up on them.
// It is called once the types are known: while the log is replayed they may come after the
// job.
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

// typeAllowed says whether a job may use the machine type with an index.
func typeAllowed(j *jobs.Job, index int) bool {
	return j.AllowedTypes == nil || (index < len(j.AllowedTypes) && j.AllowedTypes[index])
}

// fitsWithoutGPU says whether a task of a job fits a machine type without accelerators that
// it may use.
func fitsWithoutGPU(j *jobs.Job, index int, machineType eventlog.MachineType) bool {
	if machineType.GPUs != 0 || !typeAllowed(j, index) {
		return false
	}
	if j.Record.Zone != "" && !slices.Contains(machineType.Zones, j.Record.Zone) {
		return false
	}
	return j.Need.Fits(resources.Room(machineType.CPUs, 0, machineType.MemoryGB))
}

// cpuShare is how many processors of a machine a task takes up, counting those that its
// memory or accelerators leave unusable, on the type that suits it best.
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
