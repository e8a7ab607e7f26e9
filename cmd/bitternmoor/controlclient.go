package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/operators/certs"
	"bitternmoor/internal/operators/console"
	"bitternmoor/internal/operators/control"
)

// controlClient connects to the operators' listener of a controller with the operator's certificate. It
// holds the flags of the commands that change something.
type controlClient struct {
	address   string
	files     certs.Files
	yes, json bool
}

// addFlags adds the flags to a command and returns the command.
func (c *controlClient) addFlags(cmd *cobra.Command) *cobra.Command {
	flags := cmd.Flags()
	flags.StringVar(&c.address, "control", "", "operators' listener of a controller, host:port")
	flags.StringVar(&c.files.Cert, "cert", "", "file with your certificate")
	flags.StringVar(&c.files.Key, "key", "", "file with its private key")
	flags.StringVar(&c.files.CA, "ca", "", "file with the CA certificates of the controllers")
	flags.BoolVar(&c.yes, "yes", false, "do not ask for confirmation")
	flags.BoolVar(&c.json, "json", false, "print JSON")
	return cmd
}

// connect checks the flags and returns a client of the listener.
func (c *controlClient) connect() (*control.Client, error) {
	if _, _, err := net.SplitHostPort(c.address); err != nil {
		return nil, fmt.Errorf("--control: not host:port: %q", c.address)
	}
	needed := []struct{ flag, value string }{{"cert", c.files.Cert}, {"key", c.files.Key}, {"ca", c.files.CA}}
	for _, file := range needed {
		if file.value == "" {
			return nil, fmt.Errorf("--%s is needed", file.flag)
		}
	}
	credentials, err := c.files.Read()
	if err != nil {
		return nil, err
	}
	return control.NewClient(c.address, credentials.Client()), nil
}

// Timeout and interval of the repeated requests for a change that is not durable yet.
const (
	durableTimeout       = 15 * time.Second
	durableRetryInterval = 200 * time.Millisecond
)

// retryUntilDurable repeats an idempotent change request until the change is durable. If that is not known
// within durableTimeout, it fails with timeoutMessage.
func retryUntilDurable(
	ctx context.Context, timeoutMessage string, request func(ctx context.Context) (durable bool, err error),
) error {
	ctx, cancel := context.WithTimeout(ctx, durableTimeout)
	defer cancel()
	for {
		durable, err := request(ctx)
		if err != nil || durable {
			return err
		}
		select {
		case <-ctx.Done():
			return failure{errors.New(timeoutMessage)}
		case <-time.After(durableRetryInterval):
		}
	}
}

// confirm asks for confirmation of a change, unless yes is set, as scripts do.
func confirm(cmd *cobra.Command, yes bool, question string) error {
	if yes {
		return nil
	}
	console.Printf(cmd.OutOrStdout(), "%s [y/N] ", question)
	// An error, such as the end of the input, leaves the answer empty, which counts as no.
	line, _ := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	if answer != "y" && answer != "yes" {
		return failure{errors.New("nothing was changed")}
	}
	return nil
}
