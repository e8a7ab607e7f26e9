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
	machineType  = "m"
	taskCPUs     = 1.0
	taskMemoryGB = 2.0
	imageGB      = 1.0
	shortest     = 0.5 // of the mean run time; the longest is as much above it
)

// job is one that a user submits.
type job struct {
	id          uint64
	at          time.Duration // after the load has begun
	tasks, team int
	urgent      bool
	cancelAfter time.Duration // 0: it is not cancelled
}

// Counts is what a run asks for: the same for the same seed and size.
type Counts struct {
	Jobs      int `json:"jobs"`
	Urgent    int `json:"urgent_jobs"`
	Tasks     int `json:"tasks"`
	Cancelled int `json:"jobs_to_cancel"`
}

// schedule is all jobs of a run, in the order in which they come.
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

// describe is what the user of a job submits.
func (j *job) describe(w *workload) *eventlog.Job {
	d := &eventlog.Job{ID: j.id, Class: classBatch, Team: teamName(j.team), Priority: priorityNormal, Tasks: j.tasks, CPUs: taskCPUs, MemoryGB: taskMemoryGB,
		Image: w.image(j.name()), ImageGB: imageGB, Spot: true, EstimateS: w.TaskS}
	if j.urgent {
		d.Class, d.Priority = classUrgent, priorityUrgent
	}
	return d
}

// Priorities of jobs by their numbers, as package wire has them.
const (
	priorityNormal = 1
	priorityUrgent = 2
)

func teamName(n int) string { return fmt.Sprintf("team-%02d", n) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// workload says of each task how long it runs, and of each job which image it has. It is the
// same in every process of a run.
type workload struct {
	Seed   uint64
	TaskS  float64
	Images int
}

// draw is a number from 0 to 1 that belongs to a name.
func (w *workload) draw(name string) float64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], w.Seed)
	h := xxhash.New()
	_, _ = h.Write(seed[:])
	_, _ = h.WriteString(name)
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (w *workload) took(task string) time.Duration {
	return seconds(w.TaskS * (shortest + 2*(1-shortest)*w.draw(task)))
}

func (w *workload) image(job string) string {
	return fmt.Sprintf("image-%d", int(w.draw("image of "+job)*float64(w.Images)))
}
