package ctl

import (
	"strings"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Exit codes of sapphirectl.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailure means a failure that no other code describes, such as a file that cannot be read.
	ExitFailure = 1
	// ExitUsage means that arguments or flags are wrong.
	ExitUsage = 2
	// ExitInvalid means that a bundle does not validate.
	ExitInvalid = 3
	// ExitRefused means that the control members refused the request; nothing changed.
	ExitRefused = 4
	// ExitUnreachable means that no control member accepted the request, or that the node did not answer; nothing changed.
	ExitUnreachable = 5
	// ExitUnknown means that the request may or may not have taken effect; running the same command again is safe.
	ExitUnknown = 6
	// ExitNotInForce means that the version was not in force on every proxy when --wait-timeout passed or the command was
	// interrupted.
	ExitNotInForce = 7
	// ExitStopped means that the rollout that was watched is stopped.
	ExitStopped = 8
	// ExitWouldRefuse means that the node would refuse the request that explain describes.
	ExitWouldRefuse = 9
)

// Errors of the commands.
var (
	// ErrUsage reports wrong arguments or flags.
	ErrUsage = errors.New("wrong usage")
	// ErrNotInForce reports that a watch ended before the version was in force on every proxy.
	ErrNotInForce = errors.New("version is not in force everywhere")
	// ErrStopped reports that the watched rollout is stopped.
	ErrStopped = errors.New("rollout is stopped")
)

// errorClass describes how one kind of error is reported.
type errorClass struct {
	// target is the error that errors.Is finds in errors of this class.
	target error
	// code is the error code of the JSON output. If it is empty, the code of the operator API is used.
	code     string
	exitCode int
	// next tells the operator what to do.
	next string
}

// errorClasses lists the known classes. The first one that matches an error applies.
var errorClasses = []errorClass{
	{ErrUsage, "usage", ExitUsage, "run the command with --help"},
	{ErrNotInForce, "not-in-force", ExitNotInForce,
		"run 'sapphirectl watch' to keep watching, or see 'slow convergence' in docs/operators.md"},
	{ErrStopped, "stopped", ExitStopped, "approve a corrected bundle with 'sapphirectl replace'"},
	{ErrWouldRefuse, "would-refuse", ExitWouldRefuse, "the explanation on standard output tells why"},
	{ErrNodeUnreachable, "node-unreachable", ExitUnreachable, "check --node: it takes the admin address of a node that runs"},
	{operator.ErrVersionTaken, "", ExitRefused,
		"another operator won the version: agree with them on the content, then choose a greater version"},
	{operator.ErrVersionOld, "", ExitRefused, "run 'sapphirectl status' and choose a version above the latest"},
	{operator.ErrWithdrawn, "", ExitRefused, "choose a greater version; a withdrawn version cannot be used again"},
	{operator.ErrNotLatest, "", ExitRefused, "run 'sapphirectl status' and decide again about the version it shows"},
	{operator.ErrUnknownVersion, "", ExitRefused, "run 'sapphirectl status' to see staged and approved versions"},
	{operator.ErrNotStaged, "", ExitRefused, "run 'sapphirectl approve' with the bundle, which stages it again"},
	{operator.ErrInvalidBundle, "", ExitInvalid, "correct the listed fields and run 'sapphirectl bundle validate'"},
	{operator.ErrUnauthorized, "", ExitRefused,
		"check --key, and that the keyring of every control member holds the public key of the operator"},
	{operator.ErrNotFound, "", ExitRefused,
		"run 'sapphirectl members list', 'sapphirectl quarantine list' or 'sapphirectl release list'"},
	{operator.ErrRolloutBusy, "", ExitRefused,
		"wait until 'sapphirectl release list' shows that the other rollout has ended, or cancel it"},
	{operator.ErrMaybeCopy, "", ExitRefused, "run the command again in some seconds: nothing was kept of the order"},
	{operator.ErrRolloutEnded, "", ExitRefused, "run 'sapphirectl release list' and decide again about what it shows"},
	{operator.ErrUnknownService, "", ExitRefused, "approve a bundle that declares the service first"},
	{operator.ErrMembershipBusy, "", ExitRefused, "wait until 'sapphirectl members list' shows the other change as done"},
	{operator.ErrBadRequest, "", ExitRefused, "check that sapphirectl and the control members have the same release"},
	{operator.ErrOutcomeUnknown, "", ExitUnknown,
		"run the same command again: it takes effect at most once"},
	{operator.ErrNoQuorum, "", ExitUnreachable,
		"nothing was changed; see 'lost quorum' in docs/operators.md, and run the command again once a quorum is back"},
	{operator.ErrUnreachable, "", ExitUnreachable,
		"check --control and the TLS flags, and that the control members run"},
	{operator.ErrInternal, "", ExitFailure, "check the log of the control member"},
}

// classify returns the class of an error. An error of no known class gets ExitFailure and no next step.
func classify(err error) errorClass {
	var problems bundle.Problems
	if errors.As(err, &problems) {
		return errorClass{code: "invalid-bundle", exitCode: ExitInvalid, next: "correct the listed fields"}
	}
	for _, candidate := range errorClasses {
		if errors.Is(err, candidate.target) {
			if candidate.code == "" {
				candidate.code = operator.CodeOf(err)
			}
			return candidate
		}
	}
	// cobra has no error value for unknown commands, so the message is matched.
	if strings.HasPrefix(err.Error(), "unknown command") {
		return errorClasses[0]
	}
	return errorClass{code: "failure", exitCode: ExitFailure}
}

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	return classify(err).exitCode
}

func usageError(format string, args ...any) error { return errors.Wrapf(ErrUsage, format, args...) }
