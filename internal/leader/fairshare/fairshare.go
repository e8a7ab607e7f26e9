// Package fairshare is the duty that keeps the order of jobs: it ages their sizes
// in the virtual cluster, sets final ones, and writes both down. It alone writes
// entries of sizes, but for those of a job that is written anew.
package fairshare

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// ageEvery is how often the virtual cluster works on.
const agingInterval = 500 * time.Millisecond

// Component is the order in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	replayedFinalSizes map[uint64]float64 // while the log is replayed
	agedAt             time.Duration
	sizesWrittenAt     time.Duration
}

// New makes the duty of a term.
func New(s *cluster.State) *Component {
	return &Component{State: s, replayedFinalSizes: map[uint64]float64{}, sizesWrittenAt: s.TermBegan}
}

// Replay takes an entry of the log.
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	if e.FinalSize != nil {
		d.replayedFinalSizes[e.FinalSize.ID] = e.FinalSize.Size
	}
}

// Begin restores final sizes.
func (d *Component) Begin(time.Duration) {
	for id, s := range d.replayedFinalSizes {
		if j := d.Jobs.Find(id); j != nil {
			d.Estimator.Restore(j.Index, true, s, s)
		}
	}
	d.replayedFinalSizes = nil
}

// Restore puts back the virtual sizes that an earlier term wrote down, oldest
// first.
func (d *Component) Restore(now time.Duration, list []eventlog.VirtualSize) {
	for _, v := range list {
		if j := d.Jobs.Find(v.ID); j != nil {
			_, final := d.Estimator.Size(j.Index)
			d.Estimator.Restore(j.Index, final, v.Size, v.Virtual)
		}
	}
	d.Estimator.Age(now.Seconds(), 0)
}

// Tick ages the sizes.
func (d *Component) Tick(now time.Duration, _ bool) {
	if now-d.agedAt >= agingInterval {
		d.agedAt = now
		d.Estimator.Age(now.Seconds(), d.CPUs())
	}
}

// AfterCycle writes the virtual sizes down from time to time.
func (d *Component) AfterCycle(now time.Duration, sure bool) {
	if sure && now-d.sizesWrittenAt >= settings.Seconds(d.Cfg.Tunables.SizesEveryS) {
		d.sizesWrittenAt = now
		d.writeSizes()
	}
}

func (d *Component) writeSizes() {
	var list []eventlog.VirtualSize
	for _, i := range d.Estimator.Order() {
		if v := d.Estimator.Virtual(i); v > 0 {
			s, _ := d.Estimator.Size(i)
			list = append(list, eventlog.VirtualSize{ID: d.Jobs.At(i).Record.ID, Size: float64(int64(s*10)) / 10, Virtual: float64(int64(v*10)) / 10})
		}
	}
	slices.SortFunc(list, func(a, b eventlog.VirtualSize) int { return cmp.Compare(a.ID, b.ID) })
	d.EventLog.SetVirtualSizes(list)
}

// Settle sets final sizes that are due; each is written once.
func (d *Component) Settle(now time.Duration) {
	for _, i := range d.Estimator.Order() {
		if s, ok := d.Estimator.Settle(i, now.Seconds()); ok {
			d.EventLog.Append(eventlog.Entry{FinalSize: &eventlog.FinalSize{ID: d.Jobs.At(i).Record.ID, Size: s}})
			d.NeedsCycle = true
		}
	}
}
