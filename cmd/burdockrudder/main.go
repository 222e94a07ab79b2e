// Command burdockrudder dispatches sub-second tasks. See its help for the commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/burdockrudder/burdockrudder/internal/command/builder"
	"github.com/burdockrudder/burdockrudder/internal/command/planner"
	"github.com/burdockrudder/burdockrudder/internal/command/starter"
)

func main() {
	os.Exit(run())
}

// run ends the context at the first SIGINT or SIGTERM. A second signal ends the
// process at once, because the handler is removed after the first one.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	commands := append(starter.Commands(), planner.CapacityCommand())
	return builder.Run(ctx, builder.Root(commands...), os.Stderr)
}
