package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"bitternmoor/internal/core/workers"
)

// PathCommands is where a worker takes direct commands.
const PathCommands = "/do"

// PathShow is where a worker shows its report.
const PathShow = "/show"

type report struct {
	Machine string         `json:"stall"`
	Address string         `json:"address"`
	Type    string         `json:"breed"`
	Zone    string         `json:"pasture"`
	Spot    bool           `json:"loaned_stock"`
	Session uint64         `json:"watch"`
	Seq     uint64         `json:"tally"`
	Token   uint64         `json:"crook"`
	NoticeS *float64       `json:"recall_s"`
	Tasks   []reportedTask `json:"head"`
}

type reportedTask struct {
	Task    string `json:"beast"`
	Attempt uint64 `json:"try"`
	State   string `json:"standing"`
	Why     string `json:"cause,omitempty"`
	Saved   bool   `json:"kept,omitempty"`
}

var taskStateWords = map[string]workers.TaskState{
	"fetching": workers.Fetching, "gathering": workers.Gathering, "running": workers.Running,
	"saving": workers.Saving, "ended": workers.Ended,
}

var reasonWords = map[string]workers.Reason{
	"done": workers.Completed, "stopped": workers.Stopped, "peers": workers.PeersLost, "alone": workers.Alone,
	"error": workers.Failed, "full": workers.NoRoom, "busy": workers.Busy, "unknown": workers.UnknownTask,
}

// ParseReport reads a worker's report.
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
		job, task, ok := ParseTask(t.Task)
		state, known := taskStateWords[t.State]
		if !ok || !known {
			return nil, fmt.Errorf("wire: a report with a task that cannot be read: %q, %q", t.Task, t.State)
		}
		reason, known := reasonWords[t.Why]
		if state == workers.Ended && !known {
			reason = workers.Failed
		}
		r.Tasks = append(r.Tasks, workers.TaskReport{Job: job, Task: task, Attempt: t.Attempt, State: state, Reason: reason, Saved: t.Saved})
	}
	return r, nil
}

// EncodeReport is the body of a worker's report.
func EncodeReport(r *workers.Report) []byte {
	out := report{Machine: r.Machine, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Session, Seq: r.Seq, Token: r.Token, Tasks: make([]reportedTask, len(r.Tasks))}
	if r.Notice {
		out.NoticeS = &r.NoticeS
	}
	for i, t := range r.Tasks {
		out.Tasks[i] = reportedTask{Task: FormatTask(t.Job, t.Task), Attempt: t.Attempt, State: wordFor(taskStateWords, t.State), Saved: t.Saved}
		if t.State == workers.Ended {
			out.Tasks[i].Why = wordFor(reasonWords, t.Reason)
		}
	}
	return encode(out)
}

type reportAnswer struct {
	Token    uint64    `json:"crook"`
	Commands []command `json:"calls"`
}

type command struct {
	Op      string   `json:"call"`
	Task    string   `json:"beast"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"settle_s,omitempty"`
}

type directCommands struct {
	Token    uint64    `json:"crook"`
	Session  uint64    `json:"watch"`
	Commands []command `json:"calls"`
}

type redirect struct {
	Node string `json:"herdsman,omitempty"`
}

var commandWords = []string{"start", "stop", "reap"}

// ReportAnswer is the body that answers a report.
func ReportAnswer(token uint64, cmds []workers.Command) []byte {
	return encode(reportAnswer{token, formatCommands(cmds)})
}

// ParseReportAnswer reads what a controller answers to a report with status 200.
func ParseReportAnswer(body []byte) (token uint64, cmds []workers.Command, err error) {
	var in reportAnswer
	if err := json.Unmarshal(body, &in); err != nil {
		return 0, nil, fmt.Errorf("wire: an answer that cannot be read: %w", err)
	}
	cmds, err = parseCommands(in.Commands)
	return in.Token, cmds, err
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

// RedirectAnswer sends a worker to another node; the name may be empty.
func RedirectAnswer(node string) []byte { return encode(redirect{node}) }

// ParseRedirect reads where a worker is sent with status 421; empty: to the next controller.
func ParseRedirect(body []byte) string {
	var in redirect
	if json.Unmarshal(body, &in) != nil {
		return ""
	}
	return in.Node
}

// EncodeDirectCommands is the body of a direct command.
func EncodeDirectCommands(token, session uint64, cmds []workers.Command) []byte {
	return encode(directCommands{token, session, formatCommands(cmds)})
}

// DirectCommands is what a worker is told at its own address.
type DirectCommands struct {
	Token, Session uint64
	Commands       []workers.Command
}

// ParseDirectCommands reads direct commands.
func ParseDirectCommands(body []byte) (DirectCommands, error) {
	var in directCommands
	if err := json.Unmarshal(body, &in); err != nil {
		return DirectCommands{}, fmt.Errorf("wire: direct commands that cannot be read: %w", err)
	}
	cmds, err := parseCommands(in.Commands)
	return DirectCommands{in.Token, in.Session, cmds}, err
}

// WorkerClient reaches workers directly.
type WorkerClient struct{ c *http.Client }

// NewWorkerClient makes a client for workers. Connections are not kept: a worker
// is called this way rarely.
func NewWorkerClient() *WorkerClient {
	dial := &net.Dialer{Timeout: time.Second, KeepAlive: -1}
	return &WorkerClient{&http.Client{Transport: &http.Transport{DialContext: dial.DialContext, DisableKeepAlives: true, DisableCompression: true}}}
}

// Probe says whether the worker at addr answers.
func (w *WorkerClient) Probe(ctx context.Context, addr string) bool {
	status, _, err := (&Client{"http://" + addr, w.c}).exchange(ctx, "GET", PathShow, nil)
	return err == nil && status == http.StatusOK
}

// SendCommands sends direct commands to the worker at addr, and returns its report after them.
// They may be carried out late whatever comes back.
func (w *WorkerClient) SendCommands(ctx context.Context, addr string, body []byte) (*workers.Report, error) {
	status, data, err := (&Client{"http://" + addr, w.c}).exchange(ctx, "POST", PathCommands, json.RawMessage(body))
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("wire: the worker at %s carried nothing out: status %d", addr, status)
	}
	return ParseReport(data)
}
