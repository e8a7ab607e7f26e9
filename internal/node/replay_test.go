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

// recordedJob is one line of testdata/recorded_runs.txt: a job and the durations of its tasks.
type recordedJob struct {
	round          int
	class, image   string
	ownerEstimateS float64
	fault          string // "-": none
	taskDurations  []time.Duration
}

func readRecordedJobs(t *testing.T) (list []recordedJob) {
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
		var r recordedJob
		var times string
		if _, err := fmt.Sscan(lines.Text(), &r.round, &r.class, &r.image, &r.ownerEstimateS, &r.fault, &times); err != nil {
			t.Fatal(err)
		}
		for x := range strings.SplitSeq(times, ",") {
			ms, err := strconv.Atoi(x)
			if err != nil {
				t.Fatal(err)
			}
			r.taskDurations = append(r.taskDurations, time.Duration(ms)*time.Millisecond)
		}
		list = append(list, r)
	}
	return list
}

// replayedJob is the outcome of replaying one recorded job.
type replayedJob struct {
	recordedJob
	submittedAt, endedAt time.Time
	estimate             runtimes.Estimate
	deadline, warnedAt   time.Time
	warningLeadS         float64
}

// TestReplay replays recorded jobs with simulated workers over real sockets, round by round. It
// reports how accurate the run time estimates are, and how many warnings of late jobs are correct.
// It takes minutes, so it runs only if REPLAY is set.
func TestReplay(t *testing.T) {
	if os.Getenv("REPLAY") == "" {
		t.Skip("REPLAY is not set")
	}
	list := readRecordedJobs(t)
	var mu sync.Mutex
	jobs := map[string]*replayedJob{}
	notified := map[string]bool{} // jobs for which the webhook received a raised warning
	hook := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var x struct{ What, Job string }
		if json.Unmarshal(body, &x) == nil && x.What == "raised" {
			mu.Lock()
			notified[x.Job] = true
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
	fleet := &standin.Fleet{ReportInterval: 200 * time.Millisecond, Lease: 10 * time.Second, Controllers: []string{"http://" + c.PublicAddr},
		JobDuration: func(string) (time.Duration, []string) { return 0, nil },
		TaskDuration: func(task string) time.Duration {
			id, k, _ := strings.Cut(task, "/")
			n, _ := strconv.Atoi(k)
			mu.Lock()
			defer mu.Unlock()
			return jobs[id].taskDurations[n]
		},
		TaskCount: func(id string) int { mu.Lock(); defer mu.Unlock(); return len(jobs[id].taskDurations) }}
	cloud.OnMachineUp, cloud.OnMachineDeleted = fleet.StartWorker, fleet.StopWorker
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
			jobs[id] = &replayedJob{recordedJob: r, submittedAt: time.Now()}
			mu.Unlock()
			body := fmt.Sprintf(`{"name_id":%q,"herd":%q,"keeper":"team","gait":"sweep","urgency":"normal","head":%d,"vcpus":1,"gpus":0,"memory_gb":1,
			  "brand":%q,"size_gb":0.1,"breeds":null,"together":false,"scatter":false,"loaned_stock":true,"trek_s":%v,"waypoint_s":0,"stow_s":0}`, id, r.class, len(r.taskDurations), r.image, r.ownerEstimateS)
			for status := 0; status != 201 && status != 200; {
				if status, _, _ = sendRequest(t, "POST", "http://"+c.PublicAddr+"/api/jobs", body); status != 201 {
					time.Sleep(50 * time.Millisecond)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		for open := 1; open > 0; time.Sleep(150 * time.Millisecond) {
			open = pollForecasts(c.InternalAddr, &mu, jobs)
		}
	}
	reportReplay(t, jobs, notified)
}

// pollForecasts records the leader's forecasts and warnings, and which jobs have ended. It returns
// how many jobs are still open, or 1 if the leader does not answer.
func pollForecasts(addr string, mu *sync.Mutex, jobs map[string]*replayedJob) int {
	var list []runtimes.Forecast
	var late []runtimes.LateJob
	if !getView(addr, "run-times/forecast", &list) || !getView(addr, "run-times/late", &late) {
		return 1
	}
	mu.Lock()
	defer mu.Unlock()
	now := time.Now()
	open := map[string]bool{}
	for _, f := range list {
		open[f.Job] = true
		j := jobs[f.Job]
		if j.estimate.From == "" {
			j.estimate = f.Estimate
		}
		if f.Estimate.JobP90 > 0 {
			j.deadline = now.Add(time.Duration(f.LearnedS * float64(time.Second)))
		}
	}
	for _, l := range late {
		if j := jobs[l.Job]; j.warnedAt.IsZero() {
			j.warnedAt, j.warningLeadS = time.UnixMilli(l.RaisedMS), l.LeadS
		}
	}
	for id, j := range jobs {
		if j.endedAt.IsZero() && j.estimate.From != "" && !open[id] {
			j.endedAt = now
		}
	}
	left := 0
	for _, j := range jobs {
		if j.endedAt.IsZero() {
			left++
		}
	}
	return left
}

func reportReplay(t *testing.T, jobs map[string]*replayedJob, notified map[string]bool) {
	taskSeconds := map[string][]float64{}
	type score struct {
		n      int
		within [3]int
	}
	scores := map[string]*score{}
	addGuess := func(name string, round int, guess, actual float64) {
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
	var warnings, correct, falseAlarms, missed, afterDeadline, notNotified int
	var leadTimes []float64
	for n := 1; n <= len(jobs); n++ {
		id := fmt.Sprintf("j-%06d", n)
		j := jobs[id]
		actual := slices.Sorted(slices.Values(j.taskDurations))[len(j.taskDurations)/2].Seconds()
		if j.fault == "-" && slices.Contains([]int{1, 3, 10}, j.round) {
			addGuess("learned", j.round, j.estimate.P50, actual)
			addGuess("owner", j.round, j.ownerEstimateS, actual)
			if m := taskSeconds[j.image]; len(m) > 0 {
				sum := 0.0
				for _, v := range m {
					sum += v
				}
				addGuess("mean of all before", j.round, sum/float64(len(m)), actual)
			}
		}
		for _, x := range j.taskDurations {
			taskSeconds[j.image] = append(taskSeconds[j.image], x.Seconds())
		}
		late := !j.deadline.IsZero() && j.endedAt.After(j.deadline)
		if !j.warnedAt.IsZero() {
			warnings++
			leadTimes = append(leadTimes, j.warningLeadS)
			if j.warningLeadS < 0 {
				afterDeadline++
			}
			if !notified[id] {
				notNotified++
			}
			t.Logf("warned: %s round %d %s: %s, lead %.1f s, late %v", id, j.round, j.image, j.fault, j.warningLeadS, late)
		}
		switch {
		case late && !j.warnedAt.IsZero():
			correct++
		case late:
			missed++
			t.Logf("missed: %s round %d %s: %s, by %v", id, j.round, j.image, j.fault, j.endedAt.Sub(j.deadline))
		case !j.warnedAt.IsZero():
			falseAlarms++
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
	slices.Sort(leadTimes)
	if len(leadTimes) > 0 {
		t.Logf("warning lead time: %.1f s minimum, %.1f s median", leadTimes[0], leadTimes[len(leadTimes)/2])
	}
	t.Logf("%d jobs: %d warnings, %d correct, %d false, %d missed, %d after the deadline, %d not sent to the webhook", len(jobs), warnings, correct, falseAlarms, missed, afterDeadline, notNotified)
	if afterDeadline > 0 || notNotified > 0 || correct == 0 {
		t.Error("warnings are too late or not sent to the webhook, or none is correct")
	}
}
