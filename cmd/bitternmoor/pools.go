package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/node"
	"bitternmoor/internal/operators/console"
	"bitternmoor/internal/operators/control"
)

func poolsCommand() *cobra.Command {
	top := &cobra.Command{Use: "pools", Short: "Show and change pools of counted resources, and check receipts"}
	list := viewCommand("list", "Show all pools", node.PathComponents+pools.Name, printPools)
	top.AddCommand(list, poolShow(), poolSet(), poolDrain(), verifyCommand())
	return top
}

func printPools(out io.Writer, list []pools.View) {
	if len(list) == 0 {
		console.Line(out, "there are no pools")
		return
	}
	t := console.NewTable(out, "POOL", "UNITS", "OUT", "UNCERTAIN", "AFTER LOSS", "WAITING", "RESERVE", "VERSION",
		"FIRST IN ORDER", "REMARK")
	for _, p := range list {
		t.Row(p.Pool, p.Units, p.Out, p.Uncertain, p.Lost, p.Waiting, p.Reserve, p.Version, p.First, poolRemark(p))
	}
	t.Flush()
}

// poolRemark describes any exceptional state of a pool.
func poolRemark(p pools.View) string {
	var out []string
	if p.Closed != "" {
		out = append(out, "no units are given out: "+p.Closed)
	}
	if p.Drained {
		out = append(out, "drained")
	}
	if p.Pending > 0 {
		out = append(out, fmt.Sprintf("%d units once that is durable", p.Pending))
	}
	if p.Units != int64(p.Settings) {
		out = append(out, fmt.Sprintf("%d in the settings", p.Settings))
	}
	return strings.Join(out, "; ")
}

func poolShow() *cobra.Command {
	var client nodeClient
	return client.addFlags(&cobra.Command{
		Use:   "show POOL",
		Short: "Show who holds units of a pool, since when, and what would prove that they were returned",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			out := cmd.OutOrStdout()
			var p pools.View
			return client.printView(out, node.PathComponents+pools.Name+"/"+args[0], &p, func() { printPool(out, p) })
		},
	})
}

// printPool prints a pool and who holds its units.
func printPool(out io.Writer, p pools.View) {
	printPools(out, []pools.View{p})
	if len(p.Holders) == 0 {
		return
	}
	console.Line(out, "")
	t := console.NewTable(out, "JOB", "TASK", "TEAM", "UNITS", "NUMBERS", "MACHINE", "RUNS FOR", "COMES BACK BY")
	for _, h := range p.Holders {
		task, since := "all", ""
		if h.Task >= 0 {
			task = strconv.Itoa(h.Task)
		}
		if h.SinceS > 0 {
			since = formatSeconds(h.SinceS)
		}
		t.Row(h.Job, task, h.Team, h.Units, formatNumbers(h.Numbers), h.Machine, since, h.Back)
	}
	t.Flush()
}

// changePool prints the effect of a change to a pool, asks for confirmation and requests the change until
// it is durable, for the version that was shown. plan returns a description of the effect, and the change.
func (c *controlClient) changePool(
	cmd *cobra.Command, pool, question string, plan func(p *pools.View) (string, *pools.Change),
) error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	p, err := fetchPool(cmd.Context(), client, pool)
	if err != nil {
		return err
	}
	description, change := plan(p)
	change.ID, change.Pool, change.Version = rand.Text(), pool, p.Version
	out := cmd.OutOrStdout()
	if !c.json {
		console.Printf(out, "%s, version %d: %d units, %d out, %d waited for%s\n%s\n",
			pool, p.Version, p.Units, p.Out, p.Waiting, drainedSuffix(p.Drained), description)
	}
	if err := confirm(cmd, c.yes, question); err != nil {
		return err
	}
	body, err := json.Marshal(pools.Request{Change: change})
	if err != nil {
		return failure{err}
	}
	const timeoutMessage = "the change was requested and is not known to be durable: a takeover may undo it; see pools show"
	return retryUntilDurable(cmd.Context(), timeoutMessage, func(ctx context.Context) (bool, error) {
		return c.requestPoolChange(ctx, out, client, body)
	})
}

// fetchPool reads the leader's view of a pool.
func fetchPool(ctx context.Context, client *control.Client, pool string) (*pools.View, error) {
	raw, err := client.Show(ctx, pools.Name+"/"+pool)
	if errors.Is(err, control.ErrUnknown) {
		return nil, fmt.Errorf("POOL: the leader has no pool called %q", pool)
	}
	if err != nil {
		return nil, failure{err}
	}
	var p pools.View
	if err := decodeAnswer("controller", raw, &p); err != nil {
		return nil, err
	}
	return &p, nil
}

// requestPoolChange sends one request for a change, and prints the answer if the change is durable.
func (c *controlClient) requestPoolChange(
	ctx context.Context, out io.Writer, client *control.Client, body []byte,
) (durable bool, err error) {
	raw, err := client.Change(ctx, pools.Name, body)
	if err != nil {
		return false, failure{err}
	}
	var done pools.ChangeResult
	if err := decodeAnswer("controller", raw, &done); err != nil || !done.Durable {
		return false, err
	}
	if c.json {
		console.Printf(out, "%s\n", raw)
		return true, nil
	}
	console.Printf(out, "done: version %d, %d units, %d out%s\n",
		done.Version, done.Pool.Units, done.Pool.Out, drainedSuffix(done.Pool.Drained))
	return true, nil
}

func drainedSuffix(isDrained bool) string {
	if isDrained {
		return ", drained"
	}
	return ""
}

// settingsUnits, as a requested number of units, stands for the number in the settings.
const settingsUnits = -1

func poolSet() *cobra.Command {
	var client controlClient
	var text string
	cmd := client.addFlags(&cobra.Command{
		Use:   "set POOL --units N",
		Short: "Change the number of units of a pool; shows the effect and asks for confirmation",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			units, err := parseUnits(text)
			if err != nil {
				return err
			}
			return client.changePool(cmd, args[0], "change it?", func(p *pools.View) (string, *pools.Change) {
				return describeUnits(p, units), &pools.Change{Units: &units}
			})
		},
	})
	cmd.Flags().StringVar(&text, "units", "", "new number of units, or \"settings\"")
	return cmd
}

// parseUnits parses a number of units, or "settings".
func parseUnits(text string) (int64, error) {
	if text == "settings" {
		return settingsUnits, nil
	}
	units, err := strconv.ParseInt(text, 10, 64)
	if err != nil || units < 0 {
		return 0, fmt.Errorf("--units: must be a number, or \"settings\" for the number in the settings: %q", text)
	}
	return units, nil
}

// describeUnits describes the effect of a new number of units on a pool.
func describeUnits(p *pools.View, units int64) string {
	if units < 0 {
		units = int64(p.Settings)
	}
	description := fmt.Sprintf("it would have %d units", units)
	if excess := p.Out - units; excess > 0 {
		description += fmt.Sprintf(": %d more than that are out; none is revoked, "+
			"and no unit goes out before %d have come back", excess, excess+1)
	}
	return description
}

func poolDrain() *cobra.Command {
	var client controlClient
	var undo bool
	cmd := client.addFlags(&cobra.Command{
		Use:   "drain POOL",
		Short: "Stop giving out units of a pool, or resume with --undo; shows the effect and asks for confirmation",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return client.changePool(cmd, args[0], "go on?", func(p *pools.View) (string, *pools.Change) {
				drain := !undo
				description := "units would be given out again"
				if drain {
					description = fmt.Sprintf("no more units would be given out; the %d that are out come back as their tasks end, "+
						"and jobs that need units wait", p.Out)
				}
				return description, &pools.Change{Drain: &drain}
			})
		},
	})
	cmd.Flags().BoolVar(&undo, "undo", false, "resume giving out units")
	return cmd
}
