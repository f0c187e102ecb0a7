// Package daemon implements the commands of sapphiregate: running a node or a control member, running a whole
// deployment in one process for development, and checking settings files.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/logging"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailure means that the command failed, or that dev --check found a fault.
	exitFailure = 1
	// exitUsage means that arguments or settings are wrong.
	exitUsage = 2
)

// errUsage marks errors in arguments and settings.
var errUsage = errors.New("daemon: invalid arguments or settings")

// logFlags are the flags that every long-running command has.
type logFlags struct {
	format string
	level  string
	// exitBy is when the process must end; zero if there is no limit.
	exitBy time.Time
}

// setExit sets the time by which the process must end, also if its log lines are not written by then.
func (f *logFlags) setExit(by time.Time) { f.exitBy = by }

func (f *logFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.format, "log-format", "json", "log format: json or text")
	command.Flags().StringVar(&f.level, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
}

// run calls a command with the logger of the process, which also logs violated invariants. It returns after the log
// lines of the command are written, or at the time that the command has passed to setExit.
func (f *logFlags) run(command func(logger zerolog.Logger) error) error {
	output := logging.NewNonBlockingOutput(os.Stdout)
	logger, err := logging.New(output, f.format, f.level)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	logging.ReportViolations(logger)
	undo := logging.RedirectStandardLog(logger)
	err = command(logger)
	undo()
	closeOutput := output.Close
	if !f.exitBy.IsZero() {
		closeOutput = func() error { return output.CloseBefore(f.exitBy) }
	}
	if closeErr := closeOutput(); closeErr != nil {
		// Only printed: a planned stop succeeds even if nobody reads the log.
		fmt.Fprintln(os.Stderr, "sapphiregate:", closeErr)
	}
	return err
}

// Main runs the command that the arguments name and returns the exit code of the process. SIGINT and SIGTERM stop the
// command gracefully; SIGHUP reloads the settings.
func Main(arguments []string) int {
	registerReloadSignal()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "sapphiregate:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailure
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "sapphiregate",
		Short:         "Configuration distribution and proxies of a service mesh",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	root.AddCommand(newNodeCommand(), newControlCommand(), newDevCommand(), newSettingsCommand())
	return root
}
