// Package ctl implements the commands of sapphirectl, the operators' command line tool.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/settings"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Environment variables that set the defaults of flags.
const (
	EnvControl  = "SAPPHIRECTL_CONTROL"
	EnvKey      = "SAPPHIRECTL_KEY"
	EnvTLSCert  = "SAPPHIRECTL_TLS_CERT"
	EnvTLSKey   = "SAPPHIRECTL_TLS_KEY"
	EnvTLSCA    = "SAPPHIRECTL_TLS_CA"
	EnvInsecure = "SAPPHIRECTL_INSECURE"
)

// defaultTimeout limits a command that does not wait for a rollout or a membership change. It is long enough for
// several leader elections of the control members.
const defaultTimeout = 30 * time.Second

// The output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// app holds the values of the flags that all commands share. Its methods create and run the commands.
type app struct {
	control  []string
	output   string
	key      string
	operator string
	timeout  time.Duration
	tls      settings.TLS
	// waitTimeout limits commands that wait for a rollout or a membership change.
	waitTimeout time.Duration
	// interval is the time between two status requests of a watch.
	interval time.Duration
}

// NewRoot returns the root command with all commands of this package. Callers may add more with AddCommand.
func NewRoot() *cobra.Command {
	a := &app{}
	root := &cobra.Command{
		Use:               "sapphirectl",
		Short:             "Declare, approve and watch configuration bundles of a sapphiregate mesh",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return a.checkFlags() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError("%v", err) })
	a.addFlags(root)
	root.AddCommand(
		a.bundleCommand(), a.keysCommand(), a.approveCommand(), a.replaceCommand(), a.stopCommand(),
		a.watchCommand(), a.statusCommand(), a.historyCommand(), a.membersCommand(), a.quarantineCommand(),
		a.releaseCommand(), a.dumpCommand(), a.quotasCommand(), a.traceCommand(),
		a.explainCommand(),
	)
	return root
}

func (a *app) addFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	var control []string
	if value := os.Getenv(EnvControl); value != "" {
		control = strings.Split(value, ",")
	}
	flags.StringSliceVar(&a.control, "control", control, "operator API addresses of control members, host:port ($"+EnvControl+")")
	flags.StringVarP(&a.output, "output", "o", outputText, "output format: text or json")
	flags.StringVar(&a.key, "key", os.Getenv(EnvKey), "private key file of the operator ($"+EnvKey+")")
	flags.StringVar(&a.operator, "operator", "", "operator name for commands that are not signed; default: the name in the --key file")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit for the requests of the command")
	flags.DurationVar(&a.waitTimeout, "wait-timeout", defaultWaitTimeout, "time limit for watch, --wait and changes of members")
	flags.DurationVar(&a.interval, "interval", defaultWatchInterval, "time between two status requests of a watch")
	flags.StringVar(&a.tls.Certificate, "tls-cert", os.Getenv(EnvTLSCert), "client certificate file ($"+EnvTLSCert+")")
	flags.StringVar(&a.tls.Key, "tls-key", os.Getenv(EnvTLSKey), "client key file ($"+EnvTLSKey+")")
	flags.StringVar(&a.tls.CA, "tls-ca", os.Getenv(EnvTLSCA), "CA certificates that the members' certificates are checked against ($"+EnvTLSCA+")")
	flags.BoolVar(&a.tls.Insecure, "insecure", os.Getenv(EnvInsecure) == "true", "connect without TLS ($"+EnvInsecure+"=true)")
}

func (a *app) checkFlags() error {
	if a.output != outputText && a.output != outputJSON {
		return usageError("--output %q: allowed: text, json", a.output)
	}
	if min(a.timeout, a.waitTimeout, a.interval) <= 0 {
		return usageError("--timeout, --wait-timeout and --interval: allowed: positive durations")
	}
	return nil
}

// Execute runs the command that the arguments name and returns the exit code. It prints an error to the error output,
// together with what the operator can do next.
func Execute(ctx context.Context, root *cobra.Command) int {
	command, err := root.ExecuteContextC(ctx)
	if err == nil {
		return ExitOK
	}
	format := outputText
	if flag := command.Flag("output"); flag != nil {
		format = flag.Value.String()
	}
	printError(root.ErrOrStderr(), err, format)
	return ExitCode(err)
}

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Code     string           `json:"code"`
	Message  string           `json:"message"`
	Next     string           `json:"next,omitempty"`
	Winner   *bundle.Approval `json:"winner,omitempty"`
	Problems bundle.Problems  `json:"problems,omitempty"`
}

func printError(w io.Writer, err error, format string) {
	class := classify(err)
	out := errorOutput{Code: class.code, Message: err.Error(), Next: class.next}
	var detailed *operator.Error
	if errors.As(err, &detailed) {
		out.Winner = detailed.Winner
		out.Problems = detailed.Problems
	}
	var problems bundle.Problems
	if errors.As(err, &problems) {
		out.Problems = problems
	}
	if format == outputJSON {
		// Ignored: there is no other output to report a failed write to.
		_ = json.NewEncoder(w).Encode(map[string]errorOutput{"error": out})
		return
	}
	fmt.Fprintln(w, "error:", out.Message)
	if out.Winner != nil {
		fmt.Fprintf(w, "winner: version %d, digest %s, approved by %s\n", out.Winner.Version, out.Winner.Digest,
			out.Winner.Operator)
	}
	if detailed != nil {
		for _, problem := range out.Problems {
			fmt.Fprintln(w, problem)
		}
	}
	if out.Next != "" {
		fmt.Fprintln(w, "next:", out.Next)
	}
}

// client returns a client for the control members that the flags name.
func (a *app) client() (*operator.Client, error) {
	if len(a.control) == 0 {
		return nil, usageError("--control is not set")
	}
	config, err := a.tls.ClientConfig()
	if err != nil {
		return nil, usageError("TLS: %v; or set --insecure", err)
	}
	client, err := operator.NewClient(operator.ClientConfig{Addresses: a.control, TLS: config})
	if err != nil {
		return nil, usageError("%v", err)
	}
	return client, nil
}

// requestContext returns the command's context, limited by --timeout.
func (a *app) requestContext(c *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context(), a.timeout)
}

// waitContext returns the command's context, limited by --wait-timeout.
func (a *app) waitContext(c *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context(), a.waitTimeout)
}

// loadKey reads the operator's private key.
func (a *app) loadKey() (bundle.PrivateKey, error) {
	if a.key == "" {
		return bundle.PrivateKey{}, usageError("--key is not set")
	}
	return bundle.LoadKey(a.key)
}

// operatorName returns the operator's name for commands that are not signed: that of --operator, or the one in the key
// file.
func (a *app) operatorName() (string, error) {
	if a.operator != "" {
		return a.operator, nil
	}
	key, err := a.loadKey()
	return key.Operator, err
}

// print writes a value to the command's output: as JSON with --output json, otherwise with writeText. The writer that
// writeText gets aligns columns that are separated by tabs.
func (a *app) print(c *cobra.Command, value any, writeText func(w io.Writer)) error {
	out := c.OutOrStdout()
	if a.output == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "write output")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeText(table)
	return errors.Wrap(table.Flush(), "write output")
}

// commandGroup returns a command that does nothing by itself and contains subcommands.
func commandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	parent := &cobra.Command{Use: use, Short: short, RunE: func(c *cobra.Command, args []string) error {
		return usageError("%s: choose one of its subcommands", c.CommandPath())
	}}
	parent.AddCommand(commands...)
	return parent
}

// exactArgs is cobra.ExactArgs with a usage error.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError("%s takes %d arguments, got %d", c.CommandPath(), n, len(args))
		}
		return nil
	}
}
