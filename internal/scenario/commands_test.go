package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// commandArgs maps each command of scenario files to the arguments that it accepts.
var commandArgs = map[string]string{
	"world": "seed nodes old capacity limit guaranteed write-rps value-bytes txn-ops next-value-bytes next-txn-ops " +
		"lease cancel report takeovers zone-patience spread-moves begin cold starts images direct probe-silent pools " +
		"hold-after-loss config",
	"submit":                   "id count kind team priority checkpoint tasks cpus zone one-zone spread no-spot counted follows run at",
	"resubmit":                 "id at",
	"ask":                      "id",
	"abort":                    "id at",
	"cancelled-by-old-version": "id",
	"run":                      "for",
	"await":                    "id state within",
	"await-all":                "within",
	"await-running":            "id tasks within",
	"await-gathering":          "id tasks within",
	"await-leader":             "within",
	"crash":                    "node",
	"start":                    "node old",
	"crash-loop":               "node times",
	"roll":                     "every old",
	"state":                    "node outage recover refuse lower-limits lose-answers delay answers-lost",
	"cloud":                    "outage recover boot-failures delay capacity boot answer-delay",
	"partition":                "node job count from hold",
	"partition-zone":           "zone node hold",
	"partition-peers":          "",
	"partitioned-nodes":        "",
	"isolate-leader":           "",
	"heal":                     "",
	"kill":                     "job count one",
	"hang":                     "job count for",
	"drop-inbound":             "job count for",
	"drop-reports":             "job count for",
	"restart-empty":            "job count",
	"duplicate-messages":       "max-delay",
	"replay-reports":           "share",
	"freeze":                   "node for",
	"cancel-running":           "count hang",
	"cancel-at-completion":     "share",
	"intensive-polling":        "off",
	"invalid-requests":         "id times",
	"slow":                     "node job count by for",
	"burst":                    "count",
	"stream":                   "for",
	"end-faults":               "",
	"isolate-node":             "node hold",
	"remaining-tasks":          "id",
	"direct-dispatches":        "",
	"faulty":                   "job count",
	"notice":                   "job count in",
	"segments-read":            "",
	"machines":                 "no-spot",
	"deleted":                  "",
	"set-takeovers":            "takeovers",
	"resize":                   "pool units",
	"config":                   "limit team idle-return remove reset",
	"config-state":             "",
	"units-in-use":             "pool",
	"takeovers":                "",
	"cold-start":               "difference",
	"spread":                   "",
	"reclaim":                  "job count",
	"started":                  "",
	"logged":                   "text",
	"explain":                  "id",
	"invariants":               "",
	"answer":                   "id",
}

// durationArgs lists the arguments whose values are durations, and shareArgs those whose values are
// shares from 0 to 1.
var (
	durationArgs = strings.Fields("for within every delay max-delay boot answer-delay in hang by")
	shareArgs    = strings.Fields("share answers-lost")
)

// checkCommand returns a one-line description of what is wrong with a command and what is
// allowed, or the empty string for a valid command.
func checkCommand(d *datadriven.TestData) string {
	allowed, ok := commandArgs[d.Cmd]
	if !ok {
		return fmt.Sprintf("%s: unknown command; the commands are %s", d.Cmd, strings.Join(slices.Sorted(maps.Keys(commandArgs)), ", "))
	}
	list := strings.Fields(allowed)
	for _, arg := range d.CmdArgs {
		if !slices.Contains(list, arg.Key) {
			if len(list) == 0 {
				list = []string{"no arguments"}
			}
			return fmt.Sprintf("%s: %s: unknown argument; allowed: %s", d.Cmd, arg.Key, strings.Join(list, ", "))
		}
		value := strings.Join(arg.Vals, ",")
		if slices.Contains(durationArgs, arg.Key) {
			if v, err := time.ParseDuration(value); err != nil || v < 0 {
				return fmt.Sprintf("%s: %s=%s: not a duration such as 1.5s or 200ms", d.Cmd, arg.Key, value)
			}
		}
		if slices.Contains(shareArgs, arg.Key) {
			var v float64
			if n, err := fmt.Sscanf(value+" ", "%g ", &v); n != 1 || err != nil || v < 0 || v > 1 {
				return fmt.Sprintf("%s: %s=%s: not a share from 0 to 1", d.Cmd, arg.Key, value)
			}
		}
	}
	return ""
}

// TestCheckCommand checks that an invalid command, argument or value is reported in one clear line, and
// that valid commands are accepted.
func TestCheckCommand(t *testing.T) {
	for line, want := range map[string]string{
		"drop-reports job=1 for=5s":           "",
		"state answers-lost=0.4":              "",
		"drop-report job=1":                   "drop-report: unknown command; the commands are abort, ",
		"drop-reports jib=1":                  "drop-reports: jib: unknown argument; allowed: job, count, for",
		"drop-reports job=1 for=soon":         "drop-reports: for=soon: not a duration such as 1.5s or 200ms",
		"drop-reports job=1 for=-1s":          "drop-reports: for=-1s: not a duration",
		"replay-reports share=2":              "replay-reports: share=2: not a share from 0 to 1",
		"replay-reports share=half":           "replay-reports: share=half: not a share from 0 to 1",
		"state answers-lost":                  "state: answers-lost=: not a share from 0 to 1",
		"invariants now":                      "invariants: now: unknown argument; allowed: no arguments",
		"cancel-at-completion share=0.5 at=1": "cancel-at-completion: at: unknown argument; allowed: share",
	} {
		cmd, args, err := datadriven.ParseLine(line)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		got := checkCommand(&datadriven.TestData{Cmd: cmd, CmdArgs: args})
		if !strings.HasPrefix(got, want) || (want == "") != (got == "") || strings.Contains(got, "\n") {
			t.Errorf("%s: %q, want %q", line, got, want)
		}
	}
}
