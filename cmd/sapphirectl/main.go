// Command sapphirectl is the operators' command line tool for a sapphiregate mesh. It also runs experiments and the
// soak test.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sapphiregate.example/sapphiregate/ctl"
	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/experiment/slope"
	"sapphiregate.example/sapphiregate/local"
	"sapphiregate.example/sapphiregate/soak"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := ctl.NewRoot()
	experiments := experiment.NewCommandWith(local.Factory)
	experiments.AddCommand(slope.NewCommand(local.Factory))
	root.AddCommand(experiments, soak.NewCommand())
	return ctl.Execute(ctx, root)
}
