package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fleet plays the workers of a cloud's machines: each reports to one
// controller at a time and runs what it is told to, and the rules that concern
// a start are checked.
type Fleet struct {
	Doors []string // base addresses of the controllers
	Every time.Duration
	Lease time.Duration
	// Runs says how long tasks of a job run, and which jobs must be done before.
	Runs func(job string) (time.Duration, []string)
	// Took, where it is set, says it for each task instead.
	Took func(task string) time.Duration
	// Tasks is how many tasks a job has.
	Tasks func(job string) int
	// Units, where it is set, says how many units of which pools each task of a job
	// holds while it runs; more than Limit allows are a broken rule.
	Units func(job string) map[string]int

	mu     sync.Mutex
	most   map[string]int
	peak   map[string]int
	paused map[string]time.Time // machines whose workers make no reports until then
	deaf   map[string]time.Time // machines that answers do not reach until then
	copies time.Duration        // a copy of one in four reports arrives so much later at most; 0: none
	late   int                  // copies that did arrive
	gone   map[string]bool
	on     map[string]string // task -> machine

	attempts map[string]uint64 // of the tasks that run
	done     map[string]bool   // tasks
	broken   []string
}

// Broken lists the rules that were broken.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// Limit says how many units of a pool there are.
func (f *Fleet) Limit(pool string, units int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.most == nil {
		f.most, f.peak = map[string]int{}, map[string]int{}
	}
	f.most[pool] = units
}

// Peak is the most units of a pool that were ever held at once.
func (f *Fleet) Peak(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peak[pool]
}

// count holds what is held by what really runs against the limits of the pools that a
// task needs which has just started.
func (f *Fleet) count(started string) {
	held := map[string]int{}
	for t := range f.on {
		id, _, _ := strings.Cut(t, "/")
		for pool, n := range f.Units(id) {
			held[pool] += n
		}
	}
	id, _, _ := strings.Cut(started, "/")
	for pool := range f.Units(id) {
		f.peak[pool] = max(f.peak[pool], held[pool])
		if held[pool] > f.most[pool] {
			f.broken = append(f.broken, fmt.Sprintf("overdrawn: %d units of %s are held, there are %d", held[pool], pool, f.most[pool]))
		}
	}
}

// Busy lists the machines on which something runs, in no order.
func (f *Fleet) Busy() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, m := range f.on {
		out = append(out, m)
	}
	return out
}

// Pause has a machine's worker make no reports for a while; what runs there runs on
// until its lease is over.
func (f *Fleet) Pause(machine string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused == nil {
		f.paused = map[string]time.Time{}
	}
	f.paused[machine] = time.Now().Add(d)
}

// Deafen has a machine's reports arrive, and no answer reach it, for a while.
func (f *Fleet) Deafen(machine string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.deaf == nil {
		f.deaf = map[string]time.Time{}
	}
	f.deaf[machine] = time.Now().Add(d)
}

// Repeat has a copy of one in four reports arrive at some controller, so much later at most.
func (f *Fleet) Repeat(within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies = within
}

// Late counts the copies of reports that arrived.
func (f *Fleet) Late() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.late
}

// again sends a copy of a report, now and then; nobody hears the answer.
func (f *Fleet) again(client *http.Client, body []byte) {
	f.mu.Lock()
	within := f.copies
	f.mu.Unlock()
	if within == 0 || rand.IntN(4) > 0 {
		return
	}
	time.AfterFunc(rand.N(within), func() {
		resp, err := client.Post(f.Doors[rand.IntN(len(f.Doors))]+"/checkin", "application/json", bytes.NewReader(body))
		if err == nil {
			resp.Body.Close()
			f.mu.Lock()
			f.late++
			f.mu.Unlock()
		}
	})
}

// On lists the machines on which tasks of a job run.
func (f *Fleet) On(job string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for t, m := range f.on {
		if id, _, _ := strings.Cut(t, "/"); id == job {
			out = append(out, m)
		}
	}
	return out
}

// Down has a machine's worker end.
func (f *Fleet) Down(m Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone[m.Name] = true
	for t, on := range f.on {
		if on == m.Name {
			delete(f.on, t)
		}
	}
}

// Up begins a machine's worker, which ends with Down.
func (f *Fleet) Up(m Machine) {
	f.mu.Lock()
	if f.gone == nil {
		f.gone, f.on, f.done = map[string]bool{}, map[string]string{}, map[string]bool{}
	}
	f.mu.Unlock()
	go (&worker{f: f, m: m, session: 1, tasks: map[string]*running{}, renewed: time.Now()}).live()
}

// Finished says whether all tasks of a job have completed.
func (f *Fleet) Finished(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished(job)
}

func (f *Fleet) finished(job string) bool {
	for k := range f.Tasks(job) {
		if !f.done[job+"/"+strconv.Itoa(k)] {
			return false
		}
	}
	return true
}

type running struct {
	Task    string `json:"beast"`
	Attempt uint64 `json:"try"`
	State   string `json:"standing"`
	Why     string `json:"cause,omitempty"`
	ends    time.Time
}

type worker struct {
	f            *Fleet
	m            Machine
	session, seq uint64
	token        uint64
	tasks        map[string]*running // by task and attempt
	renewed      time.Time
	at           int
}

type call struct {
	Call    string `json:"call"`
	Task    string `json:"beast"`
	Attempt uint64 `json:"try"`
}

// live reports until the machine is gone.
func (w *worker) live() {
	client := &http.Client{Timeout: 4 * time.Second}
	for {
		w.f.mu.Lock()
		over, until := w.f.gone[w.m.Name], w.f.paused[w.m.Name]
		w.f.mu.Unlock()
		if over {
			return
		}
		if time.Now().Before(until) {
			w.advance()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		pause := w.f.Every
		if !w.report(client) {
			pause = time.Second
		}
		time.Sleep(pause)
	}
}

// report makes one report; false says that the next node is to be tried.
func (w *worker) report(client *http.Client) bool {
	w.advance()
	w.seq++
	head := []*running{}
	for _, t := range w.tasks {
		head = append(head, t)
	}
	body, err := json.Marshal(map[string]any{"stall": w.m.Name, "address": w.m.Address, "breed": w.m.Type, "pasture": w.m.Zone, "loaned_stock": w.m.Spot,
		"watch": w.session, "tally": w.seq, "crook": w.token, "recall_s": nil, "head": head})
	if err != nil {
		panic(err)
	}
	w.f.again(client, body)
	sent := time.Now()
	door := w.f.Doors[w.at%len(w.f.Doors)]
	resp, err := client.Post(door+"/checkin", "application/json", bytes.NewReader(body))
	if err != nil {
		w.at++
		return false
	}
	defer resp.Body.Close()
	var answer struct {
		Token uint64 `json:"crook"`
		Calls []call `json:"calls"`
		Node  string `json:"herdsman"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	if n, ok := strings.CutPrefix(answer.Node, "n"); ok && resp.StatusCode == 421 {
		if i, err := strconv.Atoi(n); err == nil && i != w.at%len(w.f.Doors) {
			w.at = i
			return true
		}
	}
	if resp.StatusCode != 200 {
		w.at++
		return false
	}
	w.f.mu.Lock()
	deaf := time.Now().Before(w.f.deaf[w.m.Name])
	w.f.mu.Unlock()
	if deaf {
		w.at++
		return false
	}
	if answer.Token < w.token {
		return true
	}
	w.token, w.renewed = answer.Token, sent
	for _, c := range answer.Calls {
		w.execute(c)
	}
	return true
}

// advance ends what has run long enough, and everything when the lease is over.
func (w *worker) advance() {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if time.Since(w.renewed) > w.f.Lease {
		for _, t := range w.tasks {
			if t.State == "running" {
				delete(w.f.on, t.Task)
			}
		}
		w.tasks = map[string]*running{}
		w.session++
		w.renewed = time.Now()
	}
	for _, t := range w.tasks {
		if t.State == "running" && time.Now().After(t.ends) {
			t.State, t.Why = "ended", "done"
			w.f.done[t.Task] = true
			delete(w.f.on, t.Task)
		}
	}
}

func (w *worker) execute(c call) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	key := fmt.Sprint(c.Task, "#", c.Attempt)
	t := w.tasks[key]
	switch c.Call {
	case "start":
		if t != nil {
			return
		}
		job, _, _ := strings.Cut(c.Task, "/")
		run, before := w.f.Runs(job)
		if w.f.Took != nil {
			run = w.f.Took(c.Task)
		}
		if on := w.f.on[c.Task]; on != "" {
			w.f.broken = append(w.f.broken, fmt.Sprintf("ran_twice: %s on %s while on %s", c.Task, w.m.Name, on))
		}
		for _, b := range before {
			if !w.f.finished(b) {
				w.f.broken = append(w.f.broken, fmt.Sprintf("too_early: %s before %s was done", c.Task, b))
			}
		}
		w.f.on[c.Task] = w.m.Name
		if w.f.attempts == nil {
			w.f.attempts = map[string]uint64{}
		}
		w.f.attempts[c.Task] = c.Attempt
		if w.f.Units != nil {
			w.f.count(c.Task)
		}
		w.tasks[key] = &running{Task: c.Task, Attempt: c.Attempt, State: "running", ends: time.Now().Add(run)}
	case "stop":
		if t != nil && t.State == "running" {
			t.State, t.Why = "ended", "stopped"
			delete(w.f.on, c.Task)
		}
	default:
		if t != nil && t.State == "ended" {
			delete(w.tasks, key)
		}
	}
}

// Attempts gives the tasks that run now, with their attempts.
func (f *Fleet) Attempts() iter.Seq2[string, uint64] {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := map[string]uint64{}
	for t := range f.on {
		list[t] = f.attempts[t]
	}
	return maps.All(list)
}
