package scalerun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/node"
	"bitternmoor/internal/operators/certs"
	"bitternmoor/internal/operators/control"
)

const (
	operatorName         = "operator"
	certLife             = 24 * time.Hour
	revisionPollInterval = 200 * time.Millisecond // interval at which the controllers' revisions are read
	revisionPollTimeout  = time.Second
	changeRetryInterval  = 50 * time.Millisecond // interval at which a change request is repeated
	minLimitShare        = 0.9                   // smallest limit in a change, as a share of the team's configured limit
)

// operators changes the configuration and measures when all controllers have applied each change.
type operators struct {
	testbed *testbed
	files   certs.Files
	rng     *rand.Rand

	mu        sync.Mutex
	unapplied []revisionAt
	made      int
}

// revisionAt is a durable revision that not all controllers have applied yet, and when it was durable.
type revisionAt struct {
	revision uint64
	at       time.Time
}

// newOperators creates the certificates of the operators and controllers.
func newOperators(w *testbed) (*operators, error) {
	dir := w.options.Dir
	if err := certs.MakeCA(dir, "scalerun", certLife); err != nil {
		return nil, err
	}
	if err := certs.Issue(dir, "node", []string{host()}, certLife); err != nil {
		return nil, err
	}
	if err := certs.Issue(dir, operatorName, nil, certLife); err != nil {
		return nil, err
	}
	return &operators{testbed: w, files: filesOf(dir, operatorName), rng: rand.New(rand.NewPCG(w.seed, 3))}, nil
}

func filesOf(dir, name string) certs.Files {
	return certs.Files{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, "ca.pem")}
}

// settings returns the settings with which a controller serves operators.
func (o *operators) settings(listen string) []string {
	f := filesOf(o.testbed.options.Dir, "node")
	return []string{"config.history=" + fmt.Sprint(o.testbed.exp.Config.History), "operators.listen=" + listen, "operators.cert_file=" + f.Cert,
		"operators.key_file=" + f.Key, "operators.ca_file=" + f.CA, "operators.operate=" + operatorName}
}

// run makes bursts of changes until the context is cancelled, when the load ends.
func (o *operators) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(seconds(o.testbed.exp.Config.EveryS)):
		}
		for range o.testbed.exp.Config.Burst {
			o.change(ctx)
		}
	}
}

// change makes one change and repeats the request until the change is durable.
func (o *operators) change(ctx context.Context) {
	requestedAt := time.Now()
	id := fmt.Sprint("change-", o.rng.Uint64())
	changes := o.randomChange()
	for ctx.Err() == nil {
		revision, err := o.requestChange(ctx, id, changes)
		if err == nil {
			o.testbed.latency.changed(time.Since(requestedAt))
			o.mu.Lock()
			o.made++
			o.unapplied = append(o.unapplied, revisionAt{revision, time.Now()})
			o.mu.Unlock()
			return
		}
		time.Sleep(changeRetryInterval)
	}
}

// randomChange returns a random change with little effect: a limit of a team slightly below the
// configured one, and a tunable.
func (o *operators) randomChange() []config.Change {
	w := o.testbed
	limit := w.teamLimit() * (minLimitShare + (1-minLimitShare)*o.rng.Float64())
	backlog := float64(40 + o.rng.IntN(10))
	return []config.Change{
		{Item: config.Item{Team: teamName(o.rng.IntN(w.exp.Load.Teams))}, Value: config.Value{Limits: &config.Limits{CPUsMax: limit}}},
		{Item: config.Item{Tunable: "fleet.drain_backlog"}, Value: config.Value{Number: &backlog}},
	}
}

// errNotDurable means that the change was not durable in time, so the request must be repeated.
var errNotDurable = errors.New("change is not durable yet")

// requestChange sends a change to a random controller and returns its revision once it is durable.
func (o *operators) requestChange(ctx context.Context, id string, changes []config.Change) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	pair, err := o.files.Read()
	if err != nil {
		return 0, err
	}
	client := control.NewClient(o.testbed.controllers[o.rng.IntN(len(o.testbed.controllers))].control, pair.Client())
	defer client.Close()
	var view reconfig.View
	raw, err := client.Show(ctx, reconfig.Name)
	if err == nil {
		err = json.Unmarshal(raw, &view)
	}
	if err != nil {
		return 0, err
	}
	body, err := json.Marshal(reconfig.Request{ID: id, Revision: view.Revision, Changes: changes})
	if err != nil {
		return 0, err
	}
	for ctx.Err() == nil {
		var answer reconfig.Answer
		raw, err = client.Change(ctx, reconfig.Name, body)
		if err == nil {
			err = json.Unmarshal(raw, &answer)
		}
		if err != nil || answer.Durable {
			return answer.Revision, err
		}
		time.Sleep(changeRetryInterval)
	}
	return 0, errNotDurable
}

// watchRevisions polls all controllers and records which revisions all of them have applied.
func (o *operators) watchRevisions(ctx context.Context) {
	client := &http.Client{Timeout: revisionPollTimeout}
	for ctx.Err() == nil {
		time.Sleep(revisionPollInterval)
		lowest, ok := o.lowestRevision(client)
		if !ok {
			continue
		}
		o.mu.Lock()
		for len(o.unapplied) > 0 && o.unapplied[0].revision <= lowest {
			o.testbed.latency.inForce(time.Since(o.unapplied[0].at))
			o.unapplied = o.unapplied[1:]
		}
		o.mu.Unlock()
	}
}

// lowestRevision returns the lowest revision of all controllers. It returns false if any of them does
// not answer.
func (o *operators) lowestRevision(client *http.Client) (lowest uint64, ok bool) {
	for i, c := range o.testbed.controllers {
		resp, err := client.Get("http://" + c.internal + node.PathComponents + reconfig.Name + "/" + reconfig.ViewLocal)
		if err != nil {
			return 0, false
		}
		var here reconfig.LocalView
		err = json.NewDecoder(resp.Body).Decode(&here)
		_ = resp.Body.Close() // the body was decoded, or is not used
		if err != nil || resp.StatusCode != http.StatusOK {
			return 0, false
		}
		if i == 0 || here.Revision < lowest {
			lowest = here.Revision
		}
	}
	return lowest, true
}

// applyTimeout is how long a run waits for its last changes to be applied.
const applyTimeout = 11 * time.Second

// awaitApplied waits until all controllers have applied all changes, or applyTimeout has passed.
func (o *operators) awaitApplied(ctx context.Context) {
	for end := time.Now().Add(applyTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(revisionPollInterval) {
		if _, waiting := o.counts(); waiting == 0 {
			return
		}
	}
}

// counts returns how many changes were made, and how many of them some controller has not applied yet.
func (o *operators) counts() (made, waiting int) {
	if o == nil {
		return 0, 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.made, len(o.unapplied)
}
