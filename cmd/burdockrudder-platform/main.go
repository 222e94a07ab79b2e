// Command burdockrudder-platform runs burdockrudder's daemons on the users'
// platform. See its help for the roles.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/burdockrudder/burdockrudder/internal/command/builder"
	"github.com/burdockrudder/burdockrudder/internal/command/platformstarter"
)

func main() {
	os.Exit(run())
}

// run ends the context at the first SIGINT or SIGTERM. SIGHUP is handled before anything
// else, because it may arrive during the start and would end a process without a handler.
func run() int {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return builder.Run(ctx, platformstarter.Root(reloads), os.Stderr)
}
