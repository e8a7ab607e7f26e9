package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bitternmoor/internal/leader/runtimes"
	"bitternmoor/internal/scaletest/standin"
)

// recorded is one recorded job of a kind of work, with the durations of its tasks.
type recorded struct {
	round        int
	class, image string
	owner        float64
	wrong        string
	took         []time.Duration
}

func readRecorded(t *testing.T) (list []recorded) {
	t.Helper()
	f, err := os.Open("testdata/recorded_runs.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // opened only for reading
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var r recorded
		var times string
		if _, err := fmt.Sscan(lines.Text(), &r.round, &r.class, &r.image, &r.owner, &r.wrong, &times); err != nil {
			t.Fatal(err)
		}
		for x := range strings.SplitSeq(times, ",") {
			ms, err := strconv.Atoi(x)
			if err != nil {
				t.Fatal(err)
			}
			r.took = append(r.took, time.Duration(ms)*time.Millisecond)
		}
		list = append(list, r)
	}
	return list
}

// replayed is the outcome of replaying one recorded job.
type replayed struct {
	recorded
	submitted, ended time.Time
	est              runtimes.Estimate
	deadline, warned time.Time
	lead             float64
}

// TestReplay replays recorded jobs with simulated workers over real sockets, round by round. It
// reports how accurate the run time estimates are, and how many warnings of late jobs are correct.
// It takes minutes, so it runs only if REPLAY is set.
func TestReplay(t *testing.T) {
	if os.Getenv("REPLAY") == "" {
		t.Skip("REPLAY is not set")
	}
	list := readRecorded(t)
	var mu sync.Mutex
	jobs := map[string]*replayed{}
	told := map[string]bool{} // jobs of which the webhook was notified
	hook := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var x struct{ What, Job string }
		if json.Unmarshal(body, &x) == nil && x.What == "raised" {
			mu.Lock()
			told[x.Job] = true
			mu.Unlock()
		}
	}))
	defer hook.Close()
	cloud := &standin.Cloud{}
	state, clouds := httptest.NewServer(&standin.StateService{}), httptest.NewServer(cloud)
	defer state.Close()
	defer clouds.Close()
	c := controllerSettings(t, "n0")
	c.External.Cloud, c.External.State = clouds.Listener.Addr().String(), state.Listener.Addr().String()
	c.Deployment.State.WriteRPS, c.Deployment.MachineLimits.FDLimit = 60, 2000
	c.Tunables.RunTimesKinds, c.Tunables.WebhookURL, c.WebhookKey = 2000, hook.URL, []byte("0123456789abcdef")
	fleet := &standin.Fleet{HeartbeatInterval: 200 * time.Millisecond, Lease: 10 * time.Second, Controllers: []string{"http://" + c.PublicAddr},
		JobDuration: func(string) (time.Duration, []string) { return 0, nil },
		TaskDuration: func(task string) time.Duration {
			id, k, _ := strings.Cut(task, "/")
			n, _ := strconv.Atoi(k)
			mu.Lock()
			defer mu.Unlock()
			return jobs[id].took[n]
		},
		TaskCount: func(id string) int { mu.Lock(); defer mu.Unlock(); return len(jobs[id].took) }}
	cloud.Up, cloud.Down = fleet.StartWorker, fleet.StopWorker
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := New(c, slog.New(slog.DiscardHandler)).Run(ctx); err != nil {
			t.Error(err)
		}
	})
	defer running.Wait()
	defer cancel()
	n := 0
	for round := 1; round <= 10; round++ {
		for _, r := range list {
			if r.round != round {
				continue
			}
			n++
			id := fmt.Sprintf("j-%06d", n)
			mu.Lock()
			jobs[id] = &replayed{recorded: r, submitted: time.Now()}
			mu.Unlock()
			body := fmt.Sprintf(`{"name_id":%q,"herd":%q,"keeper":"team","gait":"sweep","urgency":"normal","head":%d,"vcpus":1,"gpus":0,"memory_gb":1,
			  "brand":%q,"size_gb":0.1,"breeds":null,"together":false,"scatter":false,"loaned_stock":true,"trek_s":%v,"waypoint_s":0,"stow_s":0}`, id, r.class, len(r.took), r.image, r.owner)
			for status := 0; status != 201 && status != 200; {
				if status, _, _ = ask(t, "POST", "http://"+c.PublicAddr+"/api/jobs", body); status != 201 {
					time.Sleep(50 * time.Millisecond)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		for open := 1; open > 0; time.Sleep(150 * time.Millisecond) {
			open = watch(c.InternalAddr, &mu, jobs)
		}
	}
	reportReplay(t, jobs, told)
}

// watch records the leader's forecasts and warnings, and which jobs have ended. It returns how many
// jobs are still open.
func watch(addr string, mu *sync.Mutex, jobs map[string]*replayed) int {
	var list []runtimes.Forecast
	var late []runtimes.Late
	if !getJSON(addr, "run-times/forecast", &list) || !getJSON(addr, "run-times/late", &late) {
		return 1
	}
	mu.Lock()
	defer mu.Unlock()
	now := time.Now()
	open := map[string]bool{}
	for _, f := range list {
		open[f.Job] = true
		j := jobs[f.Job]
		if j.est.From == "" {
			j.est = f.Estimate
		}
		if f.Estimate.JobP90 > 0 {
			j.deadline = now.Add(time.Duration(f.LearnedS * float64(time.Second)))
		}
	}
	for _, l := range late {
		if j := jobs[l.Job]; j.warned.IsZero() {
			j.warned, j.lead = time.UnixMilli(l.RaisedMS), l.LeadS
		}
	}
	for id, j := range jobs {
		if j.ended.IsZero() && j.est.From != "" && !open[id] {
			j.ended = now
		}
	}
	left := 0
	for _, j := range jobs {
		if j.ended.IsZero() {
			left++
		}
	}
	return left
}

func reportReplay(t *testing.T, jobs map[string]*replayed, told map[string]bool) {
	means := map[string][]float64{}
	type score struct {
		n      int
		within [3]int
	}
	scores := map[string]*score{}
	add := func(name string, round int, guess, actual float64) {
		key := fmt.Sprintf("run %2d %s", round, name)
		if scores[key] == nil {
			scores[key] = &score{}
		}
		scores[key].n++
		for i, most := range []float64{.1, .2, .5} {
			if math.Abs(guess/actual-1) <= most {
				scores[key].within[i]++
			}
		}
	}
	var alarms, rightly, falsely, missed, behind, untold int
	var leads []float64
	for n := 1; n <= len(jobs); n++ {
		id := fmt.Sprintf("j-%06d", n)
		j := jobs[id]
		actual := slices.Sorted(slices.Values(j.took))[len(j.took)/2].Seconds()
		if j.wrong == "-" && slices.Contains([]int{1, 3, 10}, j.round) {
			add("learned", j.round, j.est.P50, actual)
			add("owner", j.round, j.owner, actual)
			if m := means[j.image]; len(m) > 0 {
				sum := 0.0
				for _, v := range m {
					sum += v
				}
				add("mean of all before", j.round, sum/float64(len(m)), actual)
			}
		}
		for _, x := range j.took {
			means[j.image] = append(means[j.image], x.Seconds())
		}
		late := !j.deadline.IsZero() && j.ended.After(j.deadline)
		if !j.warned.IsZero() {
			alarms++
			leads = append(leads, j.lead)
			if j.lead < 0 {
				behind++
			}
			if !told[id] {
				untold++
			}
			t.Logf("warned: %s round %d %s: %s, lead %.1f s, late %v", id, j.round, j.image, j.wrong, j.lead, late)
		}
		switch {
		case late && !j.warned.IsZero():
			rightly++
		case late:
			missed++
			t.Logf("missed: %s round %d %s: %s, by %v", id, j.round, j.image, j.wrong, j.ended.Sub(j.deadline))
		case !j.warned.IsZero():
			falsely++
		}
	}
	for _, key := range slices.Sorted(func(yield func(string) bool) {
		for k := range scores {
			if !yield(k) {
				return
			}
		}
	}) {
		s := scores[key]
		n := float64(s.n)
		t.Logf("%-26s share within 10 %%: %.2f, 20 %%: %.2f, 50 %%: %.2f, of %d jobs", key, float64(s.within[0])/n, float64(s.within[1])/n, float64(s.within[2])/n, s.n)
	}
	slices.Sort(leads)
	if len(leads) > 0 {
		t.Logf("warning lead time: %.1f s minimum, %.1f s median", leads[0], leads[len(leads)/2])
	}
	t.Logf("%d jobs: %d warnings, %d correct, %d false, %d missed, %d after the deadline, %d not sent to the webhook", len(jobs), alarms, rightly, falsely, missed, behind, untold)
	if behind > 0 || untold > 0 || rightly == 0 {
		t.Error("warnings are too late or not sent to the webhook, or none is correct")
	}
}
