package node

import (
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bitternmoor/internal/leader/cluster"
)

// statusCollector exports the status and the components' measurements as metrics. The number of
// label values is limited by the number of controllers, by fixed words, or by the components.
type statusCollector struct{ node *Node }

var (
	descLeading    = prometheus.NewDesc("bitternmoor_leading", "1 on the leader, 0 on other nodes.", nil, nil)
	descEpoch      = prometheus.NewDesc("bitternmoor_epoch", "Highest leader epoch seen by this node.", nil, nil)
	descNotDurable = prometheus.NewDesc("bitternmoor_entries_not_durable", "Entries not yet written to the state service.", nil, nil)
	descJobs       = prometheus.NewDesc("bitternmoor_jobs_open", "Unfinished jobs in the scheduling order.", nil, nil)
	descTasks      = prometheus.NewDesc("bitternmoor_tasks", "Tasks of unfinished jobs.", []string{"state"}, nil)
	descMachines   = prometheus.NewDesc("bitternmoor_block_machines", "Machines in each controller's shard.", []string{"holder"}, nil)
	descEvents     = prometheus.NewDesc("bitternmoor_events_total", "Events since the process started, by type.", []string{"event"}, nil)
)

// Describe implements prometheus.Collector. It leaves out the components' own metrics, because they
// depend on the settings.
func (s *statusCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		descLeading, descEpoch, descNotDurable, descJobs, descTasks, descMachines, descEvents,
	} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector with one consistent snapshot of the core, taken on the loop.
func (s *statusCollector) Collect(metrics chan<- prometheus.Metric) {
	var status Status
	var histograms []cluster.Histogram
	var gauges []cluster.Gauge
	err := s.node.runOnLoop(func(now time.Duration) {
		status = s.node.core.Status(now)
		histograms = s.node.core.Histograms()
		gauges = s.node.core.Gauges(now)
	})
	if err != nil {
		metrics <- prometheus.NewInvalidMetric(descLeading, err)
		return
	}
	collectStatus(metrics, &status)
	collectEvents(metrics, &status.Counts, s.node.rejectedMessages.Load())
	collectGauges(metrics, gauges)
	collectHistograms(metrics, histograms)
}

func sendGauge(metrics chan<- prometheus.Metric, desc *prometheus.Desc, value float64, labels ...string) {
	metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

func collectStatus(metrics chan<- prometheus.Metric, status *Status) {
	leading := 0.0
	if status.Leader == status.Node {
		leading = 1
	}
	sendGauge(metrics, descLeading, leading)
	sendGauge(metrics, descEpoch, float64(status.Epoch))
	sendGauge(metrics, descNotDurable, float64(status.Unsaved))
	sendGauge(metrics, descJobs, float64(len(status.Queue)))
	waiting, placed := 0, 0
	for _, job := range status.Queue {
		waiting += job.Waiting
		placed += job.Placed
	}
	sendGauge(metrics, descTasks, float64(waiting), "waiting")
	sendGauge(metrics, descTasks, float64(placed), "placed")
	for _, shard := range status.Blocks {
		sendGauge(metrics, descMachines, float64(shard.Machines), shard.Holder)
	}
}

func collectEvents(metrics chan<- prometheus.Metric, counts *cluster.Counts, rejectedMessages uint64) {
	for _, event := range []struct {
		name  string
		count uint64
	}{
		{"term_begun", counts.Terms},
		{"report", counts.Reports},
		{"user_request_answered", counts.Answered},
		{"user_request_refused", counts.Refused},
		{"machine_lost", counts.MachinesLost},
		{"rental_refused", counts.RentalsRefused},
		{"task_done", counts.TasksDone},
		{"task_rerun", counts.TasksRerun},
		{"job_released", counts.Released},
		{"cancellation_spread", counts.CancelSpread},
		{"left_waiting", counts.LeftWaiting},
		{"message_refused", rejectedMessages},
	} {
		metrics <- prometheus.MustNewConstMetric(descEvents, prometheus.CounterValue, float64(event.count), event.name)
	}
}

func collectGauges(metrics chan<- prometheus.Metric, gauges []cluster.Gauge) {
	for _, gauge := range gauges {
		desc := prometheus.NewDesc(gauge.Name, gauge.Help, []string{gauge.Label}, nil)
		for _, label := range slices.Sorted(maps.Keys(gauge.Values)) {
			sendGauge(metrics, desc, gauge.Values[label], label)
		}
	}
}

func collectHistograms(metrics chan<- prometheus.Metric, histograms []cluster.Histogram) {
	for _, histogram := range histograms {
		desc := prometheus.NewDesc(histogram.Name, histogram.Help, []string{histogram.Label}, nil)
		for _, series := range histogram.Series {
			cumulative, total := map[float64]uint64{}, uint64(0)
			for i, count := range series.Counts {
				total += count
				cumulative[histogram.Bounds[i]] = total
			}
			metrics <- prometheus.MustNewConstHistogram(desc, series.Count, series.Sum, cumulative, series.Value)
		}
	}
}
