package builder

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/burdockrudder/burdockrudder/internal/edge/caller"
)

// defaultServer is the address of an entry on the same host.
const defaultServer = "http://127.0.0.1:8080"

// connection holds the flags of every command that calls the API.
type connection struct {
	servers []string
	keyFile string
	caFile  string
	output  string
	timeout time.Duration
	firm    string
	service string
}

// bind adds the flags to a command and its subcommands.
func (c *connection) bind(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringArrayVar(&c.servers, "server", []string{defaultServer}, "base URL of an entry; repeat it to name others to try")
	flags.StringVar(&c.keyFile, "key-file", "", "file with the API key (default: the variable "+caller.KeyVariable+")")
	flags.StringVar(&c.caFile, "ca-file", "", "PEM file with the CA of the entries (default: the system's)")
	bindOutput(cmd, &c.output)
	flags.DurationVar(&c.timeout, "timeout", time.Minute, "longest wait for the answer")
}

func (c *connection) bindFirm(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.firm, "firm", "", "name of the firm")
}

func (c *connection) bindService(cmd *cobra.Command) {
	c.bindFirm(cmd)
	cmd.PersistentFlags().StringVar(&c.service, "service", "", "name of the service")
}

// action is the part of a command that calls the API and prints the result.
type action func(ctx context.Context, client *caller.Client, out *printer) error

// call checks the flags, builds the client and the printer, and runs the action with
// the timeout.
func (c *connection) call(cmd *cobra.Command, act action) error {
	if err := c.check(cmd); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
	defer cancel()
	return act(ctx, client, &printer{out: cmd.OutOrStdout(), json: c.output == outputJSON})
}

func (c *connection) check(cmd *cobra.Command) error {
	if err := checkOutput(c.output); err != nil {
		return err
	}
	if cmd.Flag("firm") != nil && c.firm == "" {
		return usagef("--firm is required")
	}
	if cmd.Flag("service") != nil && c.service == "" {
		return usagef("--service is required")
	}
	return nil
}

func (c *connection) client() (*caller.Client, error) {
	key, err := caller.ReadKey(c.keyFile)
	if err != nil {
		return nil, &usageError{err}
	}
	if key == "" {
		return nil, usagef("no API key: set %s or --key-file", caller.KeyVariable)
	}
	httpClient, err := c.httpClient()
	if err != nil {
		return nil, err
	}
	return &caller.Client{Servers: c.servers, Key: key, HTTP: httpClient}, nil
}

func (c *connection) httpClient() (*http.Client, error) {
	if c.caFile == "" {
		return http.DefaultClient, nil
	}
	text, err := os.ReadFile(c.caFile)
	if err != nil {
		return nil, usagef("read CA file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, usagef("%s holds no PEM certificate", c.caFile)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, Proxy: http.ProxyFromEnvironment}
	return &http.Client{Transport: transport}, nil
}

// readInput reads a file, or standard input if the name is "-".
func readInput(cmd *cobra.Command, name string) ([]byte, error) {
	var text []byte
	var err error
	if name == "-" {
		text, err = io.ReadAll(cmd.InOrStdin())
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, &usageError{fmt.Errorf("read input: %w", err)}
	}
	return text, nil
}
