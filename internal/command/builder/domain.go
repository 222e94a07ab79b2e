package builder

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/edge/caller"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// domainFlags are the flags of the domain commands.
type domainFlags struct {
	connection
	place  string
	reason string
}

func domainCommand() *cobra.Command {
	var d domainFlags
	cmd := group("domain", "Take failure domains out and bring them back",
		domainTakeOutCommand(&d), domainBringBackCommand(&d), domainStatusCommand(&d))
	d.bind(cmd)
	d.bindFirm(cmd)
	cmd.PersistentFlags().StringVar(&d.place, "place", "", "name of the place (required)")
	return cmd
}

func domainTakeOutCommand(d *domainFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "take-out DOMAIN",
		Short: "Start no more tasks in a failure domain; running tasks finish",
	}
	return d.change(cmd, (*caller.Client).TakeOut)
}

func domainBringBackCommand(d *domainFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "bring-back DOMAIN",
		Short: "Start tasks in a failure domain again",
	}
	return d.change(cmd, (*caller.Client).BringBack)
}

type domainChange func(client *caller.Client, ctx context.Context, firm, place, domain, reason string) (translator.DomainChanged, error)

func (d *domainFlags) change(cmd *cobra.Command, apply domainChange) *cobra.Command {
	cmd.Args = arguments("DOMAIN")
	cmd.Flags().StringVar(&d.reason, "reason", "", "reason, kept in the history (required)")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if d.place == "" || d.reason == "" {
			return usagef("--place and --reason are required")
		}
		return d.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
			changed, err := apply(client, ctx, d.firm, d.place, args[0], d.reason)
			if err != nil {
				return err
			}
			return out.print(changed, row{"VERSION", "STATE"}, row{changed.Version, changed.State})
		})
	}
	return cmd
}

func domainStatusCommand(d *domainFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Print the failure domains of a place with their endpoints",
		Args:  arguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if d.place == "" {
				return usagef("--place is required")
			}
			return d.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
				domains, err := client.Domains(ctx, d.firm, d.place)
				if err != nil {
					return err
				}
				return out.print(domains, domainRows(domains)...)
			})
		},
	}
}

func domainRows(domains translator.Domains) []row {
	rows := []row{{"DOMAIN", "STATE", "ENDPOINT", "ENDPOINT STATE", "RUNNING", "SLOTS"}}
	for _, domain := range domains.Domains {
		if len(domain.Endpoints) == 0 {
			rows = append(rows, row{domain.Name, domain.State, "", "", "", ""})
		}
		for _, e := range domain.Endpoints {
			rows = append(rows, row{domain.Name, domain.State, e.Name, e.State, e.Load.Running, e.Load.Slots})
		}
	}
	return rows
}

func endpointCommand() *cobra.Command {
	var c connection
	list := &cobra.Command{
		Use:   "list",
		Short: "Print the endpoints that the answering entry knows",
		Args:  arguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
				body, err := client.Endpoints(ctx)
				if err != nil {
					return err
				}
				return out.print(body, endpointRows(body.Endpoints)...)
			})
		},
	}
	cmd := group("endpoint", "Show endpoints", list)
	c.bind(cmd)
	return cmd
}

func endpointRows(views []coordinator.EndpointView) []row {
	rows := []row{{"ENDPOINT", "STATE", "FIRM", "PLACE", "DOMAIN", "SERVICE", "RUNNING", "QUEUED", "SLOTS", "SETTINGS"}}
	for _, v := range views {
		rows = append(rows, row{
			v.Name, v.State, v.Scope.Firm, v.Scope.Place, v.Scope.FailureDomain, v.Scope.Service,
			v.Load.Running, v.Load.Queued, v.Load.Slots, v.SettingsVersion,
		})
	}
	return rows
}
