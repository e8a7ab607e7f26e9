package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"bitternmoor/internal/core/workers"
)

// Paths at a worker's own address, through which controllers call it directly.
const (
	PathCommands = "/do"   // accepts direct commands
	PathShow     = "/show" // returns the worker's report
)

// report is a worker's heartbeat with the state of its tasks.
type report struct {
	Machine string         `json:"stall"`
	Address string         `json:"address"`
	Type    string         `json:"breed"`
	Zone    string         `json:"pasture"`
	Spot    bool           `json:"loaned_stock"`
	Session uint64         `json:"watch"`
	Seq     uint64         `json:"tally"`
	Token   uint64         `json:"crook"`    // highest fencing token that the worker has seen
	NoticeS *float64       `json:"recall_s"` // seconds until the cloud takes the machine; null: no notice
	Tasks   []reportedTask `json:"head"`
}

// reportedTask is the state of one task in a report.
type reportedTask struct {
	Task    string `json:"beast"`
	Attempt uint64 `json:"try"`
	State   string `json:"standing"`
	Why     string `json:"cause,omitempty"` // only set for a task that ended
	Saved   bool   `json:"kept,omitempty"`  // a checkpoint was saved
}

// taskStates holds the task states by their names in the protocol.
var taskStates = map[string]workers.TaskState{
	"fetching": workers.Fetching, "gathering": workers.Gathering, "running": workers.Running,
	"saving": workers.Saving, "ended": workers.Ended,
}

// endReasons holds the reasons why a task ended by their names in the protocol.
var endReasons = map[string]workers.Reason{
	"done": workers.Completed, "stopped": workers.Stopped, "peers": workers.PeersLost, "alone": workers.GangIncomplete,
	"error": workers.Failed, "full": workers.InsufficientResources, "busy": workers.Busy, "unknown": workers.UnknownTask,
}

// ParseReport decodes a worker's report. A task that ended for an unknown reason counts as failed.
func ParseReport(body []byte) (*workers.Report, error) {
	var in report
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("wire: a report that cannot be read: %w", err)
	}
	if in.Machine == "" || in.Session == 0 {
		return nil, fmt.Errorf("wire: a report without machine or session")
	}
	r := &workers.Report{
		Machine: in.Machine, Address: in.Address, Type: in.Type, Zone: in.Zone, Spot: in.Spot,
		Session: in.Session, Seq: in.Seq, Token: in.Token, Notice: in.NoticeS != nil,
	}
	if in.NoticeS != nil {
		r.NoticeS = *in.NoticeS
	}
	for _, t := range in.Tasks {
		task, err := t.parse()
		if err != nil {
			return nil, err
		}
		r.Tasks = append(r.Tasks, task)
	}
	return r, nil
}

func (t *reportedTask) parse() (workers.TaskReport, error) {
	job, task, ok := ParseTask(t.Task)
	state, known := taskStates[t.State]
	if !ok || !known {
		return workers.TaskReport{}, fmt.Errorf("wire: a report with a task that cannot be read: %q, %q", t.Task, t.State)
	}
	reason, known := endReasons[t.Why]
	if state == workers.Ended && !known {
		reason = workers.Failed
	}
	return workers.TaskReport{
		Job: job, Task: task, Attempt: t.Attempt,
		State: state, Reason: reason, Saved: t.Saved,
	}, nil
}

// EncodeReport encodes a worker's report.
func EncodeReport(r *workers.Report) []byte {
	out := report{
		Machine: r.Machine, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Session, Seq: r.Seq, Token: r.Token, Tasks: make([]reportedTask, len(r.Tasks)),
	}
	if r.Notice {
		out.NoticeS = &r.NoticeS
	}
	for i, t := range r.Tasks {
		out.Tasks[i] = reportedTask{
			Task: FormatTask(t.Job, t.Task), Attempt: t.Attempt,
			State: nameOf(taskStates, t.State), Saved: t.Saved,
		}
		if t.State == workers.Ended {
			out.Tasks[i].Why = nameOf(endReasons, t.Reason)
		}
	}
	return encode(out)
}

// reportAnswer is the response to a report that the controller accepted.
type reportAnswer struct {
	Token    uint64    `json:"crook"`
	Commands []command `json:"calls"`
}

// command is a command for a worker that concerns one attempt of a task.
type command struct {
	Op      string   `json:"call"`
	Task    string   `json:"beast"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"settle_s,omitempty"` // only set for a stop
}

// directCommands is the body of commands that are sent to a worker between its reports.
type directCommands struct {
	Token    uint64    `json:"crook"`
	Session  uint64    `json:"watch"`
	Commands []command `json:"calls"`
}

// redirect is the response that redirects a worker to another controller.
type redirect struct {
	Node string `json:"herdsman,omitempty"`
}

// opNames are the protocol's names of operations, indexed by workers.Op.
var opNames = []string{"start", "stop", "reap"}

// EncodeReportAnswer encodes the response to a report.
func EncodeReportAnswer(token uint64, commands []workers.Command) []byte {
	return encode(reportAnswer{Token: token, Commands: formatCommands(commands)})
}

// ParseReportAnswer decodes the response with status 200 to a report.
func ParseReportAnswer(body []byte) (token uint64, commands []workers.Command, err error) {
	var in reportAnswer
	if err := json.Unmarshal(body, &in); err != nil {
		return 0, nil, fmt.Errorf("wire: an answer that cannot be read: %w", err)
	}
	commands, err = parseCommands(in.Commands)
	return in.Token, commands, err
}

func formatCommands(in []workers.Command) []command {
	out := make([]command, len(in))
	for i, c := range in {
		out[i] = command{Op: opNames[c.Op], Task: FormatTask(c.Job, c.Task), Attempt: c.Attempt}
		if c.Op == workers.Stop {
			grace := c.GraceS
			out[i].GraceS = &grace
		}
	}
	return out
}

func parseCommands(in []command) ([]workers.Command, error) {
	out := make([]workers.Command, len(in))
	for i, c := range in {
		op, known := indexOf(opNames, c.Op)
		job, task, ok := ParseTask(c.Task)
		if !known || !ok {
			return nil, fmt.Errorf("wire: a command that cannot be read: %q, %q", c.Op, c.Task)
		}
		out[i] = workers.Command{Op: workers.Op(op), Job: job, Task: task, Attempt: c.Attempt}
		if c.GraceS != nil {
			out[i].GraceS = *c.GraceS
		}
	}
	return out, nil
}

// RedirectAnswer encodes the response that redirects a worker to another controller. The name may be empty.
func RedirectAnswer(node string) []byte { return encode(redirect{Node: node}) }

// ParseRedirect decodes a response with status 421 and returns the controller to which the worker is
// redirected. An empty name stands for the next controller.
func ParseRedirect(body []byte) string {
	var in redirect
	if json.Unmarshal(body, &in) != nil {
		return ""
	}
	return in.Node
}

// EncodeDirectCommands encodes direct commands for one agent session of a worker.
func EncodeDirectCommands(token, session uint64, commands []workers.Command) []byte {
	return encode(directCommands{Token: token, Session: session, Commands: formatCommands(commands)})
}

// DirectCommands are commands that are sent to a worker between its reports.
type DirectCommands struct {
	Token    uint64 // fencing token of the leader that sends them
	Session  uint64 // agent session for which they are meant
	Commands []workers.Command
}

// ParseDirectCommands decodes direct commands.
func ParseDirectCommands(body []byte) (DirectCommands, error) {
	var in directCommands
	if err := json.Unmarshal(body, &in); err != nil {
		return DirectCommands{}, fmt.Errorf("wire: direct commands that cannot be read: %w", err)
	}
	commands, err := parseCommands(in.Commands)
	return DirectCommands{Token: in.Token, Session: in.Session, Commands: commands}, err
}

// WorkerClient calls workers directly.
type WorkerClient struct{ http *http.Client }

// NewWorkerClient returns a client for all workers. It does not keep connections open, because a worker is
// rarely called directly.
func NewWorkerClient() *WorkerClient {
	return &WorkerClient{http: &http.Client{Transport: &http.Transport{
		DialContext:        newDialer().DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}}
}

// clientFor returns a client for the worker at an address.
func (w *WorkerClient) clientFor(addr string) *Client {
	return &Client{base: "http://" + addr, http: w.http}
}

// Probe is a liveness probe: it reports whether the worker at an address answers.
func (w *WorkerClient) Probe(ctx context.Context, addr string) bool {
	status, _, err := w.clientFor(addr).do(ctx, http.MethodGet, PathShow, nil)
	return err == nil && status == http.StatusOK
}

// SendCommands sends a body made by EncodeDirectCommands to the worker at an address and returns the report
// that the worker sends after executing the commands. Whatever it returns, even an error, the worker may
// still execute the commands later.
func (w *WorkerClient) SendCommands(ctx context.Context, addr string, body []byte) (*workers.Report, error) {
	status, data, err := w.clientFor(addr).do(ctx, http.MethodPost, PathCommands, json.RawMessage(body))
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("wire: worker at %s did not execute the commands: status %d", addr, status)
	}
	return ParseReport(data)
}
