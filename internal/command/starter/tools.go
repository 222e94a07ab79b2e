package starter

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/burdockrudder/burdockrudder/internal/proof/replayer"
	"github.com/burdockrudder/burdockrudder/internal/transport/authenticator"
)

// replayCommand returns the command that feeds a trace to the decision code.
func replayCommand() *cobra.Command {
	var expect string
	var messages bool
	command := &cobra.Command{
		Use:   "replay TRACE",
		Short: "Replay a recorded trace and print every decision and answer",
		Long: `replay feeds the events of a trace to an entry's decision code, with no
sockets, and prints the decisions and answers as JSON lines. With --expect it
prints nothing but the first difference from the stated output, with its line.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			trace, err := os.Open(args[0])
			if err != nil {
				return fmt.Errorf("open trace: %w", err)
			}
			defer trace.Close()
			r := replayer.Replayer{Trace: trace, Output: cmd.OutOrStdout(), Messages: messages}
			if expect == "" {
				return r.Run()
			}
			return replayAndCompare(&r, expect)
		},
	}
	command.Flags().StringVar(&expect, "expect", "", "compare with the output in this file")
	command.Flags().BoolVar(&messages, "messages", false, "print messages and store calls, too")
	return command
}

func replayAndCompare(r *replayer.Replayer, expect string) error {
	want, err := os.Open(expect)
	if err != nil {
		return fmt.Errorf("open expected output: %w", err)
	}
	defer want.Close()
	var got bytes.Buffer
	r.Output = &got
	if err := r.Run(); err != nil {
		return err
	}
	return replayer.Compare(want, &got)
}

const certificateValidity = 365 * 24 * time.Hour

// certificatesCommand returns the command that makes a CA and one certificate per
// process.
func certificatesCommand() *cobra.Command {
	var dir string
	var entries, agents, addresses []string
	command := &cobra.Command{
		Use:   "certificates",
		Short: "Make a CA and a certificate for each entry and agent",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ips, err := parseIPs(addresses)
			if err != nil {
				return err
			}
			return makeCertificates(dir, entries, agents, ips)
		},
	}
	command.Flags().StringVar(&dir, "dir", "certificates", "directory to write PEM files to")
	command.Flags().StringSliceVar(&entries, "entry", nil, "name of an entry (repeatable)")
	command.Flags().StringSliceVar(&agents, "agent", nil, "name of an agent (repeatable)")
	command.Flags().StringSliceVar(&addresses, "address", []string{"127.0.0.1"}, "IP address of the processes (repeatable)")
	return command
}

func parseIPs(addresses []string) ([]net.IP, error) {
	var ips []net.IP
	var findings []error
	for _, address := range addresses {
		ip := net.ParseIP(address)
		if ip == nil {
			findings = append(findings, fmt.Errorf("--address %s: not an IP address", address))
			continue
		}
		ips = append(ips, ip)
	}
	return ips, errors.Join(findings...)
}

func makeCertificates(dir string, entries, agents []string, ips []net.IP) error {
	authority, err := authenticator.NewAuthority("burdockrudder", certificateValidity)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("make certificate directory: %w", err)
	}
	if err := authority.Pair.Write(dir, "ca"); err != nil {
		return err
	}
	for role, names := range map[string][]string{"entry": entries, "agent": agents} {
		for _, name := range names {
			pair, err := authority.Issue(authenticator.Identity{Name: name, Role: role}, ips...)
			if err != nil {
				return err
			}
			if err := pair.Write(dir, name); err != nil {
				return err
			}
		}
	}
	return nil
}
