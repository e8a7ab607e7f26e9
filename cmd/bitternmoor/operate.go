package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/node"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

const requestTimeout = 5 * time.Second

// nodeClient holds the flags of the commands that ask a running node.
type nodeClient struct {
	config, address string
	json            bool
}

func (o *nodeClient) addFlags(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&o.address, "address", "", "a node's internal address, host:port")
	c.Flags().StringVar(&o.config, "config", "", "take the address from this settings file")
	c.Flags().BoolVar(&o.json, "json", false, "print JSON")
	return c
}

// printView reads a path of the operators' endpoint. With --json the body is
// copied as it is and done is not called.
func (o *nodeClient) printView(out io.Writer, path string, into any, done func()) error {
	body, err := o.call(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if o.json {
		_, err := fmt.Fprintf(out, "%s\n", body)
		return err
	}
	if err := decodeAnswer("node", body, into); err != nil {
		return err
	}
	done()
	return nil
}

// statusError is an answer that is not what was asked for.
type statusError struct {
	node   string
	status int
	body   string
}

func (e statusError) Error() string {
	return fmt.Sprintf("node %s answers %d: %s", e.node, e.status, e.body)
}

// decodeAnswer reads the answer of a node or a controller.
func decodeAnswer(who string, raw []byte, into any) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return failure{fmt.Errorf("the %s's answer is not understood: %w", who, err)}
	}
	return nil
}

// call makes one request of the operators' endpoint and returns its answer.
func (o *nodeClient) call(method, path string, body []byte) ([]byte, error) {
	addr := o.address
	if addr == "" && o.config != "" {
		cfg, err := settings.Load(o.config, "")
		if err != nil {
			return nil, err
		}
		addr = cfg.InternalAddr
	}
	if addr == "" {
		return nil, errors.New("--address or --config is needed")
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, fmt.Errorf("--address: not host:port: %q", addr)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure{fmt.Errorf("node %s: %w", addr, err)}
	}
	client := &http.Client{Timeout: requestTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return nil, failure{fmt.Errorf("node %s cannot be reached: %w", addr, err)}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return nil, failure{fmt.Errorf("node %s: %w", addr, err)}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, failure{statusError{addr, resp.StatusCode, string(answer)}}
	}
	return answer, nil
}

// viewCommand is a command that reads one page of the operators' endpoint and prints it.
func viewCommand[T any](use, short, path string, print func(io.Writer, T)) *cobra.Command {
	var o nodeClient
	return o.addFlags(&cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var page T
			return o.printView(cmd.OutOrStdout(), path, &page, func() { print(cmd.OutOrStdout(), page) })
		},
	})
}

func statusCommand() *cobra.Command {
	return viewCommand("status", "Show leader, blocks, machines and the queue", node.PathStatus, printStatus)
}

func printStatus(out io.Writer, s node.Status) {
	leader := s.Leader
	if leader == "" {
		leader = "nobody"
	}
	fmt.Fprintf(out, "%s leads, epoch %d, sure of it: %v, entries not yet durable: %d\n", leader, s.Epoch, s.Sure, s.Unsaved)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "\nBLOCK\tMACHINES\tCPUS")
	for _, b := range s.Blocks {
		fmt.Fprintf(w, "%s\t%d\t%.0f\n", b.Holder, b.Machines, b.CPUs)
	}
	fmt.Fprintln(w, "\nMACHINE\tTYPE\tZONE\tSPOT\tBLOCK\tFREE CPUS\tTASKS\tSTATE")
	for _, m := range s.Machines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%.1f\t%d\t%s\n", m.Name, m.Type, m.Zone, m.Spot, m.Holder, m.FreeCPUs, m.Tasks, m.State)
	}
	fmt.Fprintln(w, "\nJOB\tCLASS\tTEAM\tVIRTUAL SIZE\tSIZE\tFINAL\tWAITING\tPLACED\tDONE")
	for _, j := range s.Queue {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f s\t%.0f s\t%v\t%d\t%d\t%d\n", j.ID, j.Class, j.Team, j.Virtual, j.Size, j.Final, j.Waiting, j.Placed, j.Finished)
	}
	if len(s.Held) == 0 {
		return
	}
	fmt.Fprintln(w, "\nHELD JOB\tCLASS\tTEAM\tTASKS\tWAITS FOR")
	for _, h := range s.Held {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", h.ID, h.Class, h.Team, h.Tasks, strings.Join(h.After, ", "))
	}
}

func explainCommand() *cobra.Command {
	var o nodeClient
	return o.addFlags(&cobra.Command{
		Use: "explain JOB", Short: "Say where a job stands and what it waits for", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, ok := wire.ParseID(args[0]); !ok {
				return fmt.Errorf("not a job id: %q", args[0])
			}
			var e node.Explanation
			return o.printView(cmd.OutOrStdout(), node.PathExplain+args[0], &e, func() {
				for _, w := range e.Words {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", e.ID, w)
				}
			})
		},
	})
}
