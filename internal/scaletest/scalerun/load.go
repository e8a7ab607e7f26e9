package scalerun

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/scaletest/experiment"
	"bitternmoor/internal/wire"
)

// Classes of jobs.
const (
	classBatch  = "batch"
	classUrgent = "urgent"
)

const (
	machineType      = "m"
	taskCPUs         = 1.0
	taskMemoryGB     = 2.0
	imageGB          = 1.0
	minDurationShare = 0.5 // shortest run time as a share of the mean; the longest is as far above the mean
)

// job is a job that a user submits.
type job struct {
	id          uint64
	at          time.Duration // submission time, from the beginning of the load
	tasks, team int
	urgent      bool
	cancelAfter time.Duration // time from acceptance to cancellation; 0: not cancelled
}

// Counts is the number of jobs and tasks that a run submits. It depends only on the experiment, the
// seed and the size.
type Counts struct {
	Jobs      int `json:"jobs"`
	Urgent    int `json:"urgent_jobs"`
	Tasks     int `json:"tasks"`
	Cancelled int `json:"jobs_to_cancel"`
}

// schedule generates all jobs of a run in the order of their submission.
func schedule(e *experiment.Experiment, workers int, seed uint64) (jobs []job, counts Counts) {
	rng := rand.New(rand.NewPCG(seed, uint64(workers)))
	l := e.Load
	mean := l.UrgentShare*float64(l.UrgentTasks) + (1-l.UrgentShare)*float64(l.JobTasks)
	perSecond := l.Starts * e.Share(workers) / mean
	begin := time.Duration(0)
	for _, p := range e.Phases {
		end := begin + seconds(p.SettleS+p.MeasureS)
		rate := perSecond * p.Load
		for at := begin; rate > 0; {
			at += seconds(rng.ExpFloat64() / rate)
			if at >= end {
				break
			}
			j := job{id: uint64(len(jobs) + 1), at: at, team: rng.IntN(l.Teams), urgent: rng.Float64() < l.UrgentShare}
			size := l.JobTasks
			if j.urgent {
				size = l.UrgentTasks
			}
			j.tasks = 1 + rng.IntN(2*size-1)
			if rng.Float64() < l.CancelShare {
				j.cancelAfter = seconds(rng.Float64() * e.TaskS())
			}
			jobs = append(jobs, j)
			counts.add(j)
		}
		begin = end
	}
	return jobs, counts
}

func (c *Counts) add(j job) {
	c.Jobs++
	c.Tasks += j.tasks
	if j.urgent {
		c.Urgent++
	}
	if j.cancelAfter > 0 {
		c.Cancelled++
	}
}

func (j *job) name() string { return wire.FormatID(j.id) }

// describe returns the job as its user submits it.
func (j *job) describe(w *workload) *eventlog.Job {
	d := &eventlog.Job{ID: j.id, Class: classBatch, Team: teamName(j.team), Priority: priorityNormal, Tasks: j.tasks, CPUs: taskCPUs, MemoryGB: taskMemoryGB,
		Image: w.image(j.name()), ImageGB: imageGB, Spot: true, EstimateS: w.TaskS}
	if j.urgent {
		d.Class, d.Priority = classUrgent, priorityUrgent
	}
	return d
}

// Numbers of job priorities, as defined in package wire.
const (
	priorityNormal = 1
	priorityUrgent = 2
)

func teamName(n int) string { return fmt.Sprintf("team-%02d", n) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// workload determines the run time of each task and the image of each job. It gives the same values
// in every process of a run.
type workload struct {
	Seed   uint64
	TaskS  float64
	Images int
}

// hashFraction returns a pseudorandom number in [0, 1) that depends only on the seed and the name.
func (w *workload) hashFraction(name string) float64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], w.Seed)
	h := xxhash.New()
	_, _ = h.Write(seed[:])
	_, _ = h.WriteString(name)
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (w *workload) taskDuration(task string) time.Duration {
	return seconds(w.TaskS * (minDurationShare + 2*(1-minDurationShare)*w.hashFraction(task)))
}

func (w *workload) image(job string) string {
	return fmt.Sprintf("image-%d", int(w.hashFraction("image of "+job)*float64(w.Images)))
}
