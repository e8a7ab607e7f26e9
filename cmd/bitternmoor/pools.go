package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/node"
	"bitternmoor/internal/operators/certs"
	"bitternmoor/internal/operators/control"
	"bitternmoor/internal/operators/receipts"
	"bitternmoor/internal/settings"
)

func poolsCommand() *cobra.Command {
	top := &cobra.Command{Use: "pools", Short: "Show pools of counted resources, change them, check receipts"}
	top.AddCommand(viewCommand("list", "Show all pools", node.PathDuties+pools.Name, printPools), poolShow(), poolSet(), poolDrain(), verifyCommand())
	return top
}

func printPools(out io.Writer, list []pools.View) {
	if len(list) == 0 {
		fmt.Fprintln(out, "there are no pools")
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "POOL\tUNITS\tOUT\tUNCERTAIN\tAFTER LOSS\tWAITING\tRESERVE\tVERSION\tFIRST IN ORDER\tREMARK")
	for _, p := range list {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", p.Pool, p.Units, p.Out, p.Uncertain, p.Lost, p.Waiting, p.Reserve, p.Version, p.First, poolRemark(p))
	}
}

// poolRemark says what is out of the ordinary of a pool.
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
	var o nodeClient
	return o.addFlags(&cobra.Command{
		Use: "show POOL", Short: "Show who holds units of a pool, since when, and what would prove that they are back", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var p pools.View
			out := cmd.OutOrStdout()
			return o.printView(out, node.PathDuties+pools.Name+"/"+args[0], &p, func() {
				printPools(out, []pools.View{p})
				if len(p.Holders) == 0 {
					return
				}
				fmt.Fprintln(out)
				w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				defer w.Flush()
				fmt.Fprintln(w, "JOB\tTASK\tTEAM\tUNITS\tNUMBERS\tMACHINE\tRUNS FOR\tCOMES BACK BY")
				for _, h := range p.Holders {
					task, since := "all", ""
					if h.Task >= 0 {
						task = strconv.Itoa(h.Task)
					}
					if h.SinceS > 0 {
						since = formatSeconds(h.SinceS)
					}
					fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", h.Job, task, h.Team, h.Units, strings.Trim(fmt.Sprint(h.Numbers), "[]"), h.Machine, since, h.Back)
				}
			})
		},
	})
}

// controlClient is where an operator may change something, and as whom.
type controlClient struct {
	address   string
	files     certs.Files
	yes, json bool
}

func (c *controlClient) addFlags(cmd *cobra.Command) *cobra.Command {
	f := cmd.Flags()
	f.StringVar(&c.address, "control", "", "a controller's operators' listener, host:port")
	f.StringVar(&c.files.Cert, "cert", "", "your certificate")
	f.StringVar(&c.files.Key, "key", "", "its key")
	f.StringVar(&c.files.CA, "ca", "", "certificates of those who sign controllers' certificates")
	f.BoolVar(&c.yes, "yes", false, "do not ask")
	f.BoolVar(&c.json, "json", false, "print JSON")
	return cmd
}

func (c *controlClient) connect() (*control.Client, error) {
	if _, _, err := net.SplitHostPort(c.address); err != nil {
		return nil, fmt.Errorf("--control: not host:port: %q", c.address)
	}
	for _, x := range []struct{ flag, value string }{{"cert", c.files.Cert}, {"key", c.files.Key}, {"ca", c.files.CA}} {
		if x.value == "" {
			return nil, fmt.Errorf("--%s is needed", x.flag)
		}
	}
	pair, err := c.files.Read()
	if err != nil {
		return nil, err
	}
	return control.NewClient(c.address, pair.Client()), nil
}

const (
	durableTimeout       = 15 * time.Second
	durableRetryInterval = 200 * time.Millisecond
)

// change shows what a change would do to a pool, asks, and has it made: for the
// version that was shown, and until it is durable.
func (c *controlClient) change(cmd *cobra.Command, pool, question string, plan func(p *pools.View) (string, *pools.Change)) error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	raw, err := client.Show(cmd.Context(), pools.Name+"/"+pool)
	if errors.Is(err, control.ErrUnknown) {
		return fmt.Errorf("POOL: the leader has no pool called %q", pool)
	}
	if err != nil {
		return failure{err}
	}
	var p pools.View
	if err := decodeAnswer("controller", raw, &p); err != nil {
		return err
	}
	words, change := plan(&p)
	change.ID, change.Pool, change.Version = rand.Text(), pool, p.Version
	out := cmd.OutOrStdout()
	if !c.json {
		fmt.Fprintf(out, "%s, version %d: %d units, %d out, %d waited for%s\n%s\n", pool, p.Version, p.Units, p.Out, p.Waiting, drainedSuffix(p.Drained), words)
	}
	if err := confirm(cmd, c.yes, question); err != nil {
		return err
	}
	body, err := json.Marshal(pools.Request{Change: change})
	if err != nil {
		return failure{err}
	}
	return retryUntilDurable(cmd.Context(), "the change is made, and not known to be durable: a takeover may undo it; see pools show", func(ctx context.Context) (bool, error) {
		raw, err := client.Change(ctx, pools.Name, body)
		if err != nil {
			return false, failure{err}
		}
		var done pools.Changed
		if err := decodeAnswer("controller", raw, &done); err != nil || !done.Durable {
			return false, err
		}
		if c.json {
			fmt.Fprintf(out, "%s\n", raw)
		} else {
			fmt.Fprintf(out, "done: version %d, %d units, %d out%s\n", done.Version, done.Pool.Units, done.Pool.Out, drainedSuffix(done.Pool.Drained))
		}
		return true, nil
	})
}

// retryUntilDurable asks for a change until it is durable; unknown is what is said where that is not
// known in time.
func retryUntilDurable(ctx context.Context, unknown string, ask func(ctx context.Context) (durable bool, err error)) error {
	ctx, cancel := context.WithTimeout(ctx, durableTimeout)
	defer cancel()
	for {
		durable, err := ask(ctx)
		if err != nil || durable {
			return err
		}
		select {
		case <-ctx.Done():
			return failure{errors.New(unknown)}
		case <-time.After(durableRetryInterval):
		}
	}
}

func drainedSuffix(d bool) string {
	if d {
		return ", drained"
	}
	return ""
}

func poolSet() *cobra.Command {
	var c controlClient
	var units string
	cmd := c.addFlags(&cobra.Command{
		Use: "set POOL --units N", Short: "Change how many units a pool has; says what that does, and asks", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := strconv.ParseInt(units, 10, 64)
			if units == "settings" {
				n, err = -1, nil
			} else if err == nil && n < 0 {
				err = errors.New("below 0")
			}
			if err != nil {
				return fmt.Errorf("--units: a number, or \"settings\" for what the settings say: %q", units)
			}
			return c.change(cmd, args[0], "change it?", func(p *pools.View) (string, *pools.Change) {
				to := n
				if to < 0 {
					to = int64(p.Settings)
				}
				words := fmt.Sprintf("it would have %d units", to)
				if over := p.Out - to; over > 0 {
					words += fmt.Sprintf(": %d more are out than that; nothing is taken from anybody, and none goes out before %d have come back", over, over+1)
				}
				return words, &pools.Change{Units: &n}
			})
		},
	})
	cmd.Flags().StringVar(&units, "units", "", "how many units it is to have, or \"settings\"")
	return cmd
}

func poolDrain() *cobra.Command {
	var c controlClient
	var undo bool
	cmd := c.addFlags(&cobra.Command{
		Use: "drain POOL", Short: "Let no more units of a pool go out, or with --undo let them again; says what that does, and asks", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.change(cmd, args[0], "go on?", func(p *pools.View) (string, *pools.Change) {
				drain := !undo
				words := fmt.Sprintf("no more units would go out; the %d that are out come back as their tasks end, and jobs that need any wait", p.Out)
				if undo {
					words = "units would go out again"
				}
				return words, &pools.Change{Drain: &drain}
			})
		},
	})
	cmd.Flags().BoolVar(&undo, "undo", false, "let units go out again")
	return cmd
}

func verifyCommand() *cobra.Command {
	var files string
	var asJSON bool
	c := &cobra.Command{
		Use: "verify RECEIPT --key-file FILE[,FILE]", Short: "Check a receipt for units, and say what it certifies", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			list := settings.List(files)
			if len(list) == 0 {
				return errors.New("--key-file is needed")
			}
			keys, err := receipts.Read(list)
			if err != nil {
				return err
			}
			claims, key, err := keys.Verify(args[0], time.Now())
			if err != nil {
				return failure{err}
			}
			out := cmd.OutOrStdout()
			if asJSON {
				raw, err := json.Marshal(claims)
				if err != nil {
					return failure{err}
				}
				fmt.Fprintf(out, "%s\n", raw)
				return nil
			}
			fmt.Fprintf(out, "good until %s, signed with key %s: task %s, attempt %d, given in epoch %d\n", claims.ExpiresAt.UTC().Format(time.RFC3339), key, claims.Subject, claims.Attempt, claims.Epoch)
			for _, u := range claims.Units {
				of := "the task"
				if u.PerJob {
					of = "the job as a whole"
				}
				fmt.Fprintf(out, "  %s: units %s, for %s\n", u.Pool, strings.Trim(fmt.Sprint(u.Numbers), "[]"), of)
			}
			return nil
		},
	}
	c.Flags().StringVar(&files, "key-file", "", "files with the keys, separated by commas")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func certsCommand() *cobra.Command {
	top := &cobra.Command{Use: "certs", Short: "Make certificates for the operators' listener of a small installation"}
	var dir string
	var days int
	flags := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&dir, "dir", ".", "where certificates and keys are kept")
		c.Flags().IntVar(&days, "days", 365, "for how long it is good")
		return c
	}
	life := func() (time.Duration, error) {
		if days < 1 || days > 36500 {
			return 0, fmt.Errorf("--days: must be between 1 and 36500, is %d", days)
		}
		return time.Duration(days) * 24 * time.Hour, nil
	}
	var hosts string
	issue := flags(&cobra.Command{
		Use: "issue NAME", Short: "Make a certificate for an operator, or with --hosts for a controller, signed by the CA", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := life()
			if err != nil {
				return err
			}
			if err := certs.Issue(dir, args[0], settings.List(hosts), t); err != nil {
				return failure{err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s/%s.pem and its key %s/%s.key are made\n", dir, args[0], dir, args[0])
			return nil
		},
	})
	issue.Flags().StringVar(&hosts, "hosts", "", "names and addresses at which a controller is called, separated by commas")
	top.AddCommand(flags(&cobra.Command{
		Use: "ca", Short: "Make a CA; it writes over nothing", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, err := life()
			if err != nil {
				return err
			}
			if err := certs.MakeCA(dir, "bitternmoor CA", t); err != nil {
				return failure{err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s/ca.pem and its key %s/ca.key are made: whoever has the key can make operators\n", dir, dir)
			return nil
		},
	}), issue)
	return top
}
