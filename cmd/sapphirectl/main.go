// Command sapphirectl is the operators' tool of sapphiregate.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sapphiregate.example/sapphiregate/ctl"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Execute(ctx, ctl.NewRoot())
}
