// Command celerystepctl is the operators' tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/celerystep/celerystep/internal/ctl"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, ctl.Environment{
		Out:            os.Stdout,
		Err:            os.Stderr,
		Getenv:         os.Getenv,
		Now:            time.Now,
		NewOperationID: ctl.NewOperationID,
		IssueKey:       ctl.IssueKey,
		Connect:        ctl.Connect,
	}, os.Args[1:])
}
