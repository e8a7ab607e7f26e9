package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/settings"
)

const (
	requestTimeout = 5 * time.Second
	maxAnswer      = 64 << 20 // maximum number of bytes that are read of an answer
)

// nodeClient sends requests to a running node at its internal address. It holds the flags of the commands
// that do so.
type nodeClient struct {
	config, address string
	json            bool
}

// addFlags adds the flags to a command and returns the command.
func (n *nodeClient) addFlags(cmd *cobra.Command) *cobra.Command {
	flags := cmd.Flags()
	flags.StringVar(&n.address, "address", "", "internal address of a node, host:port")
	flags.StringVar(&n.config, "config", "", "settings file to take the address from")
	flags.BoolVar(&n.json, "json", false, "print JSON")
	return cmd
}

// printView decodes the answer to a GET of a path into a view, and calls print. With --json it prints the
// body unchanged instead.
func (n *nodeClient) printView(out io.Writer, path string, view any, print func()) error {
	body, err := n.call(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if n.json {
		_, err := fmt.Fprintf(out, "%s\n", body)
		return err
	}
	if err := decodeAnswer("node", body, view); err != nil {
		return err
	}
	print()
	return nil
}

// statusError is the error for an answer with a status other than 200.
type statusError struct {
	node   string
	status int
	body   string
}

func (e statusError) Error() string {
	return fmt.Sprintf("node %s answered %d: %s", e.node, e.status, e.body)
}

// decodeAnswer decodes the answer of a node or a controller.
func decodeAnswer(who string, raw []byte, into any) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return failure{fmt.Errorf("cannot decode the %s's answer: %w", who, err)}
	}
	return nil
}

// call sends one request to the node and returns the answer, or an error for any status but 200.
func (n *nodeClient) call(method, path string, body []byte) ([]byte, error) {
	addr, err := n.resolveAddress()
	if err != nil {
		return nil, err
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
	defer func() { _ = resp.Body.Close() }() // the body has been read, or its error is returned
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, failure{fmt.Errorf("node %s: %w", addr, err)}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, failure{statusError{node: addr, status: resp.StatusCode, body: string(answer)}}
	}
	return answer, nil
}

// resolveAddress returns the node's internal address, from the flags or the settings file.
func (n *nodeClient) resolveAddress() (string, error) {
	addr := n.address
	if addr == "" && n.config != "" {
		cfg, err := settings.Load(n.config, "")
		if err != nil {
			return "", err
		}
		addr = cfg.InternalAddr
	}
	if addr == "" {
		return "", errors.New("--address or --config is needed")
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return "", fmt.Errorf("--address: not host:port: %q", addr)
	}
	return addr, nil
}

// viewCommand returns a command that reads one view of a node and prints it.
func viewCommand[T any](use, short, path string, print func(io.Writer, T)) *cobra.Command {
	var client nodeClient
	return client.addFlags(&cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			var view T
			return client.printView(out, path, &view, func() { print(out, view) })
		},
	})
}
