package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/logging"
	"sapphiregate.example/sapphiregate/protocol"
)

// maxLogLine limits one line of a log file, in bytes. A line about a request is shorter than 1 KiB.
const maxLogLine = 1 << 20

// ErrNotLogged reports that no line of the given logs has the request's identifier.
var ErrNotLogged = errors.New("the request is not in the logs")

// logLine is a log line about a request. Fields that the line does not have are zero. The line is from the request's
// ingress, which is the node that received it from the caller, or from an executor, which is a node that the ingress
// called and that passes the call to the upstream beside it.
type logLine struct {
	Instance       string           `json:"instance,omitempty"`
	Time           time.Time        `json:"time"`
	Request        string           `json:"request"`
	Message        string           `json:"message"`
	Route          string           `json:"route,omitempty"`
	Service        string           `json:"service,omitempty"`
	Outcome        protocol.Outcome `json:"outcome,omitempty"`
	Reason         protocol.Reason  `json:"reason,omitempty"`
	UpstreamStatus int              `json:"upstream_status,omitempty"`
	// Tried lists the instances that the ingress called, in order. TriedInstance is the one whose attempt failed.
	Tried         []string `json:"tried,omitempty"`
	TriedInstance string   `json:"tried_instance,omitempty"`
	// TookMs is the time from the request's arrival at the ingress to its end.
	TookMs int64 `json:"took_ms,omitempty"`
	// WaitedMs is the time that the call waited for a slot, UpstreamMs the time that the upstream took.
	WaitedMs   int64 `json:"waited_ms,omitempty"`
	UpstreamMs int64 `json:"upstream_ms,omitempty"`
	// GivenMs is the time until the deadline that the ingress gave the call, LeftMs the time that was left at the ingress.
	GivenMs int64 `json:"given_ms,omitempty"`
	LeftMs  int64 `json:"left_ms,omitempty"`
	// PauseMs is the delay before the next attempt.
	PauseMs int64 `json:"pause_ms,omitempty"`
	// PatienceMs is the time that was left of the route's target latency when the ingress sent the call.
	PatienceMs int64 `json:"patience_ms,omitempty"`
	// Version is the version of the configuration, VersionAgeMs the time that it had been in force.
	Version      uint64 `json:"version,omitempty"`
	VersionAgeMs int64  `json:"version_age_ms,omitempty"`
	// Slots, Running and Waiting are the upstream's slots, its calls in flight and the calls that waited for a slot.
	Slots   int `json:"slots,omitempty"`
	Running int `json:"running,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	// LinesDropped is the number of lines about requests that the node did not write before this one.
	LinesDropped int `json:"lines_dropped,omitempty"`
}

// requestTrace is the path of one request through the processes, taken from their logs.
type requestTrace struct {
	// Request is the identifier of the request, or its idempotency key if it has no identifier.
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
	// Dropped is the number of lines about any request that the nodes did not write, because they limit the rate of such
	// lines. If it is not 0, lines of this request may be missing.
	Dropped int `json:"lines_dropped"`
	// Cause explains the reason in the last line.
	Cause string `json:"cause,omitempty"`
}

func (a *app) traceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST FILE...",
		Short: "Show a request's path through the processes from their log files, in causal order",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) < 2 {
				return usageError("%s takes a request and at least one log file", c.CommandPath())
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			trace := requestTrace{Request: args[0]}
			for _, file := range args[1:] {
				if err := trace.readFile(file); err != nil {
					return err
				}
			}
			if len(trace.Lines) == 0 {
				return errors.Wrapf(ErrNotLogged, "request %s, %d files read, %d lines left out of them", args[0], len(args)-1, trace.Dropped)
			}
			trace.sortByCause()
			return a.print(c, trace, trace.print)
		},
	}
}

func (t *requestTrace) readFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer file.Close()
	return errors.Wrapf(t.read(file), "read %s", name)
}

// read adds the lines about the request. It skips the text that log collectors put before the JSON object of a line,
// and lines without a JSON object.
func (t *requestTrace) read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var line logLine
		if json.Unmarshal(scanner.Bytes()[start:], &line) != nil {
			continue
		}
		t.Dropped += line.LinesDropped
		if line.Request == t.Request {
			t.Lines = append(t.Lines, line)
		}
	}
	return scanner.Err()
}

// sortByCause sorts the lines in causal order and sets Cause. Times of different instances cannot be compared, as their
// clocks differ. The ingress logs the instances in the order in which it tried them: the lines of each instance come in
// that order, each followed by the ingress's line about the failed attempt, and the ingress's final line comes last.
func (t *requestTrace) sortByCause() {
	var tried []string
	for _, line := range t.Lines {
		if len(line.Tried) > len(tried) {
			tried = line.Tried
		}
	}
	rank := func(line logLine) int {
		if line.isFinal() {
			return 2 * (len(tried) + 1)
		}
		index := slices.Index(tried, cmp.Or(line.TriedInstance, line.Instance))
		if index < 0 {
			index = len(tried)
		}
		if line.Message == logging.AttemptFailed {
			return 2*index + 1
		}
		return 2 * index
	}
	slices.SortStableFunc(t.Lines, func(a, b logLine) int {
		if byCause := rank(a) - rank(b); byCause != 0 {
			return byCause
		}
		return a.Time.Compare(b.Time)
	})
	t.Cause = reasonExplanations[t.Lines[len(t.Lines)-1].Reason]
}

// isFinal reports whether the line is the last one of the ingress.
func (l *logLine) isFinal() bool {
	return l.Message == logging.RequestFailed || l.Message == logging.RequestAnswered || l.Message == logging.RequestRefused
}

// triedSuffix names the instance whose attempt failed, for a line of the ingress about that attempt. It is empty for
// other lines.
func (l *logLine) triedSuffix() string {
	if l.TriedInstance == "" {
		return ""
	}
	return " (tried " + l.TriedInstance + ")"
}

// print writes a table with one row per line. TOOK and LEFT are the total and the remaining time in lines of the
// ingress, and the upstream's time and the time given to the call in lines of executors.
func (t *requestTrace) print(w io.Writer) {
	fmt.Fprintln(w, "STEP\tINSTANCE\tWHAT\tREASON\tSTATUS\tTOOK\tWAITED\tLEFT\tSLOTS\tVERSION")
	for i, line := range t.Lines {
		took, left := line.TookMs, line.LeftMs
		if !line.isFinal() && line.Message != logging.AttemptFailed {
			took, left = line.UpstreamMs, line.GivenMs
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%d ms\t%d ms\t%d ms\t%d of %d, %d wait\t%d, %d ms old\n", i+1,
			printable(line.Instance), printable(line.Message+line.triedSuffix()), printable(string(line.Reason)), line.UpstreamStatus, took,
			line.WaitedMs, left, line.Running, line.Slots, line.Waiting, line.Version, line.VersionAgeMs)
	}
	if t.Cause != "" {
		fmt.Fprintln(w, "cause:", t.Cause)
	}
	if t.Dropped > 0 {
		fmt.Fprintf(w, "%d lines about requests were left out of these logs, so the path may have gaps\n", t.Dropped)
	}
}

// reasonExplanations says for each reason what happened and where to look next.
var reasonExplanations = map[protocol.Reason]string{
	protocol.ReasonShed: "no slot was expected in time; see SLOTS, and which upstreams of the service announced " +
		"themselves or left before",
	protocol.ReasonDeadline:          "the time ran out; see which step took or waited longest",
	protocol.ReasonNoUpstream:        "no instance of the service takes calls; see which upstreams left or never announced themselves",
	protocol.ReasonNoRoute:           "no route of the version matched; see when the node put which version into force",
	protocol.ReasonNotReady:          "the node had no configuration yet; see its start and its first 'bundle in force'",
	protocol.ReasonDraining:          "the instance was leaving; see its 'upstream is leaving'",
	protocol.ReasonCallLimit:         "the route's call limit was reached",
	protocol.ReasonQuarantined:       "the request is in quarantine, since it crashed upstreams; see 'sapphirectl quarantine'",
	protocol.ReasonUpstreamFailed:    "the upstream broke the connection or its response was not valid; see its own log",
	protocol.ReasonUpstreamRefused:   "the upstream said that it has not run the request",
	protocol.ReasonUnreachable:       "the upstream took no connection",
	protocol.ReasonTruncated:         "the upstream's response ended before it was complete",
	protocol.ReasonNodeFailed:        "the instance or the connection to it failed; see whether its process stopped or started at that time",
	protocol.ReasonCallerGone:        "the caller closed its connection",
	protocol.ReasonLedgerUnavailable: "the control members did not answer; see who leads them",
	protocol.ReasonInProgress:        "an earlier request with this key has no recorded answer yet",
	protocol.ReasonKeyReused:         "the key belongs to a different request",
	protocol.ReasonKeyExpired:        "the key is too old",
	protocol.ReasonTooLarge:          "the body is larger than the route allows",
	protocol.ReasonTooDeep:           "the chain of calls is too deep",
}
