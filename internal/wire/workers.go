package wire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"bitternmoor/internal/core/workers"
)

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

// ParseTask reads the name of a task.
func ParseTask(s string) (job uint64, task int, ok bool) {
	id, num, found := strings.Cut(s, "/")
	if !found {
		return 0, 0, false
	}
	job, ok = ParseID(id)
	n, err := strconv.Atoi(num)
	return job, n, ok && err == nil && n >= 0 && n < 100000
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

// ReportAnswer is the body that answers a report.
func ReportAnswer(token uint64, cmds []workers.Command) []byte {
	return encode(reportAnswer{token, formatCommands(cmds)})
}

// RedirectAnswer sends a worker to another node; the name may be empty.
func RedirectAnswer(node string) []byte { return encode(redirect{node}) }

// PathCommands is where a worker takes direct commands.
const PathCommands = "/do"

// PathShow is where a worker shows its report.
const PathShow = "/show"

// EncodeDirectCommands is the body of a direct command.
func EncodeDirectCommands(token, session uint64, cmds []workers.Command) []byte {
	return encode(directCommands{token, session, formatCommands(cmds)})
}
