package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"bitternmoor/internal/core/workers"
)

// Paths of a worker's own address, at which controllers reach it directly.
const (
	PathCommands = "/do"   // takes direct commands
	PathShow     = "/show" // shows the worker's report
)

// report is a worker's heartbeat with its status.
type report struct {
	Machine string         `json:"stall"`
	Address string         `json:"address"`
	Type    string         `json:"breed"`
	Zone    string         `json:"pasture"`
	Spot    bool           `json:"loaned_stock"`
	Session uint64         `json:"watch"`
	Seq     uint64         `json:"tally"`
	Token   uint64         `json:"crook"`    // highest fencing token that the worker has seen
	NoticeS *float64       `json:"recall_s"` // null: the machine is not being taken back
	Tasks   []reportedTask `json:"head"`
}

type reportedTask struct {
	Task    string `json:"beast"`
	Attempt uint64 `json:"try"`
	State   string `json:"standing"`
	Why     string `json:"cause,omitempty"` // only of a task that ended
	Saved   bool   `json:"kept,omitempty"`
}

// taskStateWords are the words of a task's states.
var taskStateWords = map[string]workers.TaskState{
	"fetching": workers.Fetching, "gathering": workers.Gathering, "running": workers.Running,
	"saving": workers.Saving, "ended": workers.Ended,
}

// reasonWords are the words of the reasons why a task ended.
var reasonWords = map[string]workers.Reason{
	"done": workers.Completed, "stopped": workers.Stopped, "peers": workers.PeersLost, "alone": workers.GangIncomplete,
	"error": workers.Failed, "full": workers.InsufficientResources, "busy": workers.Busy, "unknown": workers.UnknownTask,
}

// ParseReport reads a worker's report. A task that ended for a reason which is not known counts as
// failed.
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
	state, known := taskStateWords[t.State]
	if !ok || !known {
		return workers.TaskReport{}, fmt.Errorf("wire: a report with a task that cannot be read: %q, %q", t.Task, t.State)
	}
	reason, known := reasonWords[t.Why]
	if state == workers.Ended && !known {
		reason = workers.Failed
	}
	return workers.TaskReport{
		Job: job, Task: task, Attempt: t.Attempt,
		State: state, Reason: reason, Saved: t.Saved,
	}, nil
}

// EncodeReport is the body of a worker's report.
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
			State: wordFor(taskStateWords, t.State), Saved: t.Saved,
		}
		if t.State == workers.Ended {
			out.Tasks[i].Why = wordFor(reasonWords, t.Reason)
		}
	}
	return encode(out)
}

// reportAnswer answers a report that the controller took.
type reportAnswer struct {
	Token    uint64    `json:"crook"`
	Commands []command `json:"calls"`
}

type command struct {
	Op      string   `json:"call"`
	Task    string   `json:"beast"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"settle_s,omitempty"` // only of a stop
}

// directCommands are commands sent to a worker between its reports.
type directCommands struct {
	Token    uint64    `json:"crook"`
	Session  uint64    `json:"watch"`
	Commands []command `json:"calls"`
}

// redirect sends a worker to another controller.
type redirect struct {
	Node string `json:"herdsman,omitempty"`
}

// commandWords are the words of workers.Op, in the order of their numbers.
var commandWords = []string{"start", "stop", "reap"}

// ReportAnswer is the body that answers a report.
func ReportAnswer(token uint64, commands []workers.Command) []byte {
	return encode(reportAnswer{Token: token, Commands: formatCommands(commands)})
}

// ParseReportAnswer reads what a controller answers to a report with status 200.
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
		out[i] = command{Op: commandWords[c.Op], Task: FormatTask(c.Job, c.Task), Attempt: c.Attempt}
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
		op, known := indexOf(commandWords, c.Op)
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

// RedirectAnswer is the body that sends a worker to another controller; the name may be empty.
func RedirectAnswer(node string) []byte { return encode(redirect{Node: node}) }

// ParseRedirect reads where a worker is sent with status 421; empty: to the next controller.
func ParseRedirect(body []byte) string {
	var in redirect
	if json.Unmarshal(body, &in) != nil {
		return ""
	}
	return in.Node
}

// EncodeDirectCommands is the body of direct commands for one agent session of a worker.
func EncodeDirectCommands(token, session uint64, commands []workers.Command) []byte {
	return encode(directCommands{Token: token, Session: session, Commands: formatCommands(commands)})
}

// DirectCommands are commands sent to a worker between its reports.
type DirectCommands struct {
	Token    uint64 // fencing token of the leader that sends them
	Session  uint64 // agent session that they are meant for
	Commands []workers.Command
}

// ParseDirectCommands reads direct commands.
func ParseDirectCommands(body []byte) (DirectCommands, error) {
	var in directCommands
	if err := json.Unmarshal(body, &in); err != nil {
		return DirectCommands{}, fmt.Errorf("wire: direct commands that cannot be read: %w", err)
	}
	commands, err := parseCommands(in.Commands)
	return DirectCommands{Token: in.Token, Session: in.Session, Commands: commands}, err
}

// WorkerClient reaches workers directly.
type WorkerClient struct{ http *http.Client }

// NewWorkerClient makes a client of all workers. Connections are not kept, since a worker is rarely
// called directly.
func NewWorkerClient() *WorkerClient {
	return &WorkerClient{http: &http.Client{Transport: &http.Transport{
		DialContext:        newDialer().DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}}
}

// at is a client of the worker at an address.
func (w *WorkerClient) at(addr string) *Client {
	return &Client{base: "http://" + addr, http: w.http}
}

// Probe says whether the worker at an address answers: a liveness probe.
func (w *WorkerClient) Probe(ctx context.Context, addr string) bool {
	status, _, err := w.at(addr).exchange(ctx, http.MethodGet, PathShow, nil)
	return err == nil && status == http.StatusOK
}

// SendCommands sends a body of EncodeDirectCommands to the worker at an address, and returns the report
// that the worker makes after them. Whatever it returns, also an error, the commands may still be
// carried out later.
func (w *WorkerClient) SendCommands(ctx context.Context, addr string, body []byte) (*workers.Report, error) {
	status, data, err := w.at(addr).exchange(ctx, http.MethodPost, PathCommands, json.RawMessage(body))
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("wire: the worker at %s carried nothing out: status %d", addr, status)
	}
	return ParseReport(data)
}
