// Command hyssophoistd is the daemon of hyssophoist, with a development mode and emulators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hyssophoist/hyssophoist/internal/daemon/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// Shutdown waits for all requests in progress; a second Ctrl-C ends the process at once.
	context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })
	err := command.New().ExecuteContext(ctx)
	stop()
	if err != nil {
		os.Exit(1)
	}
}
