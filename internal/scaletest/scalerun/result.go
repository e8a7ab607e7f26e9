package scalerun

import (
	"slices"

	"bitternmoor/internal/scaletest/traffic"
)

// Names of roles.
const (
	RoleLeader     = "leader"
	RoleController = "other controller"
	RoleState      = "state service"
	RoleWorker     = "worker process"
	RoleHollow     = "hollow worker"
)

// Role is the resource usage of one process of a role, averaged over the time that it had the role. For
// hollow workers, which share one process, it is the usage per worker.
type Role struct {
	Role        string  `json:"role"`
	Processes   float64 `json:"processes"` // mean number of processes
	CPU         float64 `json:"cpu"`       // cores
	RSSMiB      float64 `json:"rss_mib"`   // largest value
	Sockets     int     `json:"sockets"`   // largest number, including other open files
	InKBPerS    float64 `json:"in_kb_s"`
	OutKBPerS   float64 `json:"out_kb_s"`
	MessagesPS  float64 `json:"messages_s"`
	PeersKBPerS float64 `json:"peers_kb_s"` // traffic with other controllers, in both directions
}

// StateUse is the load on the state service.
type StateUse struct {
	RequestsPerS float64 `json:"requests_s"`
	WritesPerS   float64 `json:"writes_s"`
	WrittenKBPS  float64 `json:"written_kb_s"`
	RateLimited  uint64  `json:"rate_limited"`
	LogKeys      int     `json:"log_keys"` // at the end of the phase
	LogKB        float64 `json:"log_kb"`
	LogKBMost    float64 `json:"log_kb_most"` // largest size of the log during the phase
}

// Phase is the result of one phase of a run.
type Phase struct {
	Name       string   `json:"phase"`
	Seconds    float64  `json:"seconds"`
	Workers    float64  `json:"workers"` // mean number of workers that are up
	Running    float64  `json:"running"` // mean number of running tasks
	Teams      int      `json:"teams"`
	StartsPerS float64  `json:"starts_s"`
	EndsPerS   float64  `json:"ends_s"`
	Roles      []Role   `json:"roles"`
	State      StateUse `json:"state"`
	Urgent     Latency  `json:"urgent_start"`  // from the first attempt to submit the job to the start of a task
	Prompt     float64  `json:"urgent_prompt"` // share of urgent tasks that started within the time limit
	Lost       int      `json:"lost"`          // tasks ended uncompleted: machine or lease lost, cancelled, preempted
	Other      Latency  `json:"other_start"`
	Cancel     Latency  `json:"cancel"`          // from the user's decision to cancel to the answer
	Recovery   Latency  `json:"recovery"`        // from the loss of a task with its machine until it runs again
	Changed    Latency  `json:"config_durable"`  // from the request for a change until it was durable
	InForce    Latency  `json:"config_in_force"` // from durable until all controllers applied it
	NoStartsS  float64  `json:"no_starts_s"`     // total time of the sampling intervals in which no task started
}

// Result is the result of one run.
type Result struct {
	Experiment string   `json:"experiment"`
	Size       int      `json:"size"`
	Seed       uint64   `json:"seed"`
	Counts     Counts   `json:"counts"`
	Accepted   uint64   `json:"jobs_accepted"`
	Over       uint64   `json:"jobs_over"`                // jobs reported to their users as done or cancelled
	Changes    int      `json:"config_changes"`           // number of changes made
	Waiting    int      `json:"config_changes_not_there"` // changes not applied everywhere at the end
	Phases     []Phase  `json:"phases"`
	Broken     []string `json:"broken"` // descriptions of the rules that were broken
}

const (
	kB  = 1000
	miB = 1 << 20
)

// account sums the resource usage of a role over samples.
type account struct {
	cpu, seconds float64
	traffic      traffic.Count
	peers        traffic.Count
	rss, sockets int
}

func (a *account) add(dt float64, before, after Usage, traffic, peers traffic.Count) {
	a.seconds += dt
	a.cpu += max(0, after.CPUSeconds-before.CPUSeconds)
	a.traffic = a.traffic.Plus(traffic)
	a.peers = a.peers.Plus(peers)
	a.rss = max(a.rss, after.RSSBytes)
	a.sockets = max(a.sockets, after.Sockets)
}

// role returns the mean usage of one process of a role in a phase that was measured for the given
// number of seconds.
func (a *account) role(name string, phaseSeconds float64) Role {
	r := Role{Role: name, RSSMiB: float64(a.rss) / miB, Sockets: a.sockets}
	if a.seconds == 0 {
		return r
	}
	r.Processes = a.seconds / phaseSeconds
	r.CPU = a.cpu / a.seconds
	r.InKBPerS = float64(a.traffic.In) / kB / a.seconds
	r.OutKBPerS = float64(a.traffic.Out) / kB / a.seconds
	r.MessagesPS = float64(a.traffic.Messages) / a.seconds
	r.PeersKBPerS = float64(a.peers.In+a.peers.Out) / kB / a.seconds
	return r
}

// summarize computes the result of a phase from its samples.
func summarize(name string, teams int, samples []Sample, t *times) Phase {
	p := Phase{Name: name, Teams: teams, Urgent: t.urgent.latency(), Prompt: t.promptShare(), Lost: t.lost, Other: t.other.latency(), Cancel: t.cancel.latency(), Recovery: t.recovery.latency(),
		Changed: t.changed.latency(), InForce: t.inForce.latency()}
	if len(samples) < 2 {
		return p
	}
	first, last := samples[0], samples[len(samples)-1]
	p.Seconds = last.AtS - first.AtS
	var leader, others, state, workers, hollow account
	for i := 1; i < len(samples); i++ {
		a, b := &samples[i-1], &samples[i]
		dt := b.AtS - a.AtS
		p.Workers += dt * float64(b.Up+len(b.Workers)) / p.Seconds
		p.Running += dt * float64(b.Running) / p.Seconds
		p.State.LogKBMost = max(p.State.LogKBMost, float64(b.Counts.Bytes)/kB)
		if a.Starts == b.Starts {
			p.NoStartsS += dt
		}
		for k := range b.Nodes {
			x, y := &a.Nodes[k], &b.Nodes[k]
			if y.PID == 0 || x.PID != y.PID {
				continue
			}
			to := &others
			if y.Leads {
				to = &leader
			}
			to.add(dt, x.Usage, y.Usage, y.traffic().Minus(x.traffic()), y.Peers.Minus(x.Peers))
		}
		state.add(dt, a.State, b.State, traffic.Count{}, traffic.Count{})
		for k := range b.Workers {
			y := &b.Workers[k]
			if x := a.worker(y.Machine); x != nil {
				workers.add(dt, x.Usage, y.Usage, y.Traffic.Minus(x.Traffic), traffic.Count{})
			}
		}
		hollow.add(dt, a.Run, b.Run, b.Hollow.Minus(a.Hollow), traffic.Count{})
	}
	h := hollow.role(RoleHollow, p.Seconds)
	h.divide(float64(last.Up))
	p.Roles = []Role{leader.role(RoleLeader, p.Seconds), others.role(RoleController, p.Seconds), state.role(RoleState, p.Seconds), workers.role(RoleWorker, p.Seconds), h}
	p.StartsPerS = float64(last.Starts-first.Starts) / p.Seconds
	p.EndsPerS = float64(last.Ended-first.Ended) / p.Seconds
	p.State.add(&first, &last, p.Seconds)
	return p
}

// worker returns the sample of a machine's worker, or nil if there is none.
func (s *Sample) worker(machine string) *WorkerSample {
	i := slices.IndexFunc(s.Workers, func(w WorkerSample) bool { return w.Machine == machine })
	if i < 0 {
		return nil
	}
	return &s.Workers[i]
}

// divide divides the usage of a process by the number of workers in it.
func (r *Role) divide(n float64) {
	if n == 0 {
		return
	}
	r.Processes = n
	r.CPU /= n
	r.RSSMiB /= n
	r.Sockets = 0
	r.InKBPerS /= n
	r.OutKBPerS /= n
	r.MessagesPS /= n
}

func (u *StateUse) add(first, last *Sample, seconds float64) {
	a, b := &first.Counts, &last.Counts
	u.RequestsPerS = float64(b.Requests-a.Requests) / seconds
	u.WritesPerS = float64(b.Writes-a.Writes) / seconds
	u.WrittenKBPS = float64(b.BytesWritten-a.BytesWritten) / kB / seconds
	u.RateLimited = b.RateLimited - a.RateLimited
	u.LogKeys, u.LogKB = b.Keys, float64(b.Bytes)/kB
}
