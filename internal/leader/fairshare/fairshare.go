// Package fairshare is the component of a leader's term that maintains the order of the jobs: it
// ages their sizes in the virtual cluster of HFSP, the Hadoop Fair Sojourn Protocol (package
// sizing), sets final sizes, and writes both to the event log. Only this component writes entries
// of sizes, except that the compaction of a job's entries rewrites the job's final size.
package fairshare

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// agingInterval is how often the virtual cluster is advanced.
const agingInterval = 500 * time.Millisecond

// Component maintains the order of the jobs in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	replayedFinalSizes map[uint64]float64 // by job id, while the log is replayed
	agedAt             time.Duration      // when the virtual cluster was last advanced
	sizesWrittenAt     time.Duration      // when the virtual sizes were last written
}

// New returns the component of a term.
func New(state *cluster.State) *Component {
	return &Component{State: state, replayedFinalSizes: map[uint64]float64{}, sizesWrittenAt: state.TermBegan}
}

// Replay applies an entry of the log.
func (c *Component) Replay(_ time.Duration, entry eventlog.Entry) {
	if entry.FinalSize != nil {
		c.replayedFinalSizes[entry.FinalSize.ID] = entry.FinalSize.Size
	}
}

// Begin restores the final sizes once the log is replayed.
func (c *Component) Begin(time.Duration) {
	for id, size := range c.replayedFinalSizes {
		if job := c.Jobs.ByID(id); job != nil {
			c.Estimator.Restore(job.Index, true, size, size)
		}
	}
	c.replayedFinalSizes = nil
}

// Restore restores the virtual sizes that an earlier term wrote, oldest first.
func (c *Component) Restore(now time.Duration, sizes []eventlog.VirtualSize) {
	for _, size := range sizes {
		if job := c.Jobs.ByID(size.ID); job != nil {
			_, final := c.Estimator.Size(job.Index)
			c.Estimator.Restore(job.Index, final, size.Size, size.Virtual)
		}
	}
	c.Estimator.Age(now.Seconds(), 0)
}

// Tick ages the sizes at their interval.
func (c *Component) Tick(now time.Duration, _ bool) {
	if now-c.agedAt >= agingInterval {
		c.agedAt = now
		c.Estimator.Age(now.Seconds(), c.CPUs())
	}
}

// AfterCycle writes the virtual sizes at the configured interval, while the leader's lease is
// valid.
func (c *Component) AfterCycle(now time.Duration, leaseValid bool) {
	if leaseValid && now-c.sizesWrittenAt >= settings.Seconds(c.Cfg.Tunables.SizeWriteIntervalS) {
		c.sizesWrittenAt = now
		c.writeSizes()
	}
}

// writeSizes writes the virtual sizes above 0, truncated to a tenth of a second, ordered by job
// id.
func (c *Component) writeSizes() {
	var sizes []eventlog.VirtualSize
	for _, index := range c.Estimator.Order() {
		virtual := c.Estimator.VirtualSize(index)
		if virtual <= 0 {
			continue
		}
		size, _ := c.Estimator.Size(index)
		sizes = append(sizes, eventlog.VirtualSize{
			ID:      c.Jobs.ByIndex(index).Record.ID,
			Size:    truncateToTenth(size),
			Virtual: truncateToTenth(virtual),
		})
	}
	slices.SortFunc(sizes, func(a, b eventlog.VirtualSize) int { return cmp.Compare(a.ID, b.ID) })
	c.EventLog.SetVirtualSizes(sizes)
}

func truncateToTenth(seconds float64) float64 { return float64(int64(seconds*10)) / 10 }

// FinalizeSizes sets the final sizes that are due; each is written once.
func (c *Component) FinalizeSizes(now time.Duration) {
	for _, index := range c.Estimator.Order() {
		if size, ok := c.Estimator.FinalizeSize(index, now.Seconds()); ok {
			finalSize := &eventlog.FinalSize{ID: c.Jobs.ByIndex(index).Record.ID, Size: size}
			c.EventLog.Append(eventlog.Entry{FinalSize: finalSize})
			c.NeedsCycle = true
		}
	}
}
