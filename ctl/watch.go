package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/protocol/operator"
)

const (
	// defaultWatchInterval is the time between two status requests. New proxy counts reach a member about once a second.
	defaultWatchInterval = 500 * time.Millisecond
	// defaultWaitTimeout limits a watch. A rollout is expected to complete within seconds after the last fault is mended.
	defaultWaitTimeout = 5 * time.Minute
	// progressWidth is the number of characters between the brackets of a progress bar.
	progressWidth = 20
)

// progress is how far the rollout of one version is, according to a status.
type progress struct {
	Version uint64         `json:"version"`
	State   string         `json:"state"`
	Zones   []zoneProgress `json:"zones"`
	// Note says why State is not "in-force" although all counted proxies may have the version, that no status is
	// available, or that a later version supersedes this one.
	Note string `json:"note,omitempty"`
}

// zoneProgress counts the proxies of one zone, and those of them that have the version or a later one in force.
type zoneProgress struct {
	Zone    string `json:"zone"`
	InForce int    `json:"in_force"`
	Proxies int    `json:"proxies"`
	// AgeMs is the age of the counts in milliseconds, or operator.AgeUnknown if none have arrived. The text output calls
	// the counts figures.
	AgeMs int64 `json:"age_ms"`
	// Lagging is a sample of the proxies that have an earlier version in force.
	Lagging []operator.LaggingProxy `json:"lagging,omitempty"`
}

// The values of progress.State.
const (
	stateWaiting    = "waiting"
	stateInProgress = "in-progress"
	stateInForce    = "in-force"
	stateStopped    = "stopped"
)

// progressOf returns the progress of a version according to a status. The version is in force only if at least one
// proxy is counted, every counted proxy has the version or a later one, and all counts are fresh.
func progressOf(status operator.Status, version uint64) progress {
	p := progress{Version: version, State: stateInProgress, Zones: []zoneProgress{}}
	if status.Latest == nil || status.Latest.Version < version {
		p.State = stateWaiting
		p.Note = "the member that answered does not know the version as approved"
		return p
	}
	stale := !operator.Fresh(status.ConfirmedAgeMs)
	complete, proxies := true, 0
	for _, zone := range status.Zones {
		z := zoneProgressOf(zone, version)
		p.Zones = append(p.Zones, z)
		proxies += z.Proxies
		complete = complete && z.InForce == z.Proxies
		stale = stale || !operator.Fresh(z.AgeMs)
	}
	switch {
	case status.Latest.Version == version && status.Rollout == operator.RolloutStopped:
		p.State = stateStopped
	case stale:
		p.Note = "the figures are too old to judge"
	case proxies == 0:
		p.Note = "no proxy is counted"
	case complete:
		p.State = stateInForce
	}
	if status.Latest.Version > version && p.Note == "" {
		p.Note = fmt.Sprintf("version %d is superseded by version %d", version, status.Latest.Version)
	}
	return p
}

func zoneProgressOf(zone operator.ZoneStatus, version uint64) zoneProgress {
	z := zoneProgress{Zone: zone.Zone, InForce: zone.InForce(version), Proxies: zone.Proxies, AgeMs: zone.AgeMs}
	for _, proxy := range zone.Lagging {
		if proxy.Version < version {
			z.Lagging = append(z.Lagging, proxy)
		}
	}
	return z
}

func (a *app) watchCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "watch [VERSION]",
		Short: "Watch a version, by default the latest, come into force",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) > 1 {
				return usageError("%s takes at most 1 argument", c.CommandPath())
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			if len(args) == 1 {
				version, err := parseVersion(args[0])
				if err != nil {
					return err
				}
				return a.watch(c, client, version)
			}
			version, err := a.latestVersion(c, client)
			if err != nil {
				return err
			}
			return a.watch(c, client, version)
		},
	}
	return command
}

// latestVersion returns the latest approved version, or operator.ErrUnknownVersion if there is none.
func (a *app) latestVersion(c *cobra.Command, api operator.Backend) (uint64, error) {
	ctx, cancel := a.requestContext(c)
	defer cancel()
	status, err := api.Status(ctx)
	if err != nil {
		return 0, err
	}
	if status.Latest == nil {
		return 0, errors.Wrap(operator.ErrUnknownVersion, "no version is approved")
	}
	return status.Latest.Version, nil
}

// watch shows the progress until the version is in force. It returns ErrStopped once the rollout is stopped and
// ErrNotInForce when --wait-timeout passes or the command is interrupted.
func (a *app) watch(c *cobra.Command, api operator.Backend, version uint64) error {
	ctx, cancel := context.WithTimeout(c.Context(), a.waitTimeout)
	defer cancel()
	display := a.display(c.OutOrStdout())
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	last := progress{Version: version, State: stateWaiting, Note: "no status has arrived"}
	for {
		status, err := api.Status(ctx)
		switch {
		case err == nil:
			last = progressOf(status, version)
		case isPermanent(err):
			return err
		case ctx.Err() == nil:
			last.Note = "status is not available: " + firstLine(err)
		}
		if err := display.show(last); err != nil {
			return err
		}
		switch last.State {
		case stateInForce:
			return nil
		case stateStopped:
			return errors.Wrapf(ErrStopped, "version %d", version)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrNotInForce, "version %d: %s; the watch ended: %v", version, summarize(last), ctx.Err())
		case <-ticker.C:
		}
	}
}

// isPermanent reports whether another status request would fail the same way. The errors listed here are temporary,
// such as unreachable members or a lost quorum.
func isPermanent(err error) bool {
	return !errors.IsAny(err, operator.ErrUnreachable, operator.ErrNoQuorum, operator.ErrNotLeader,
		operator.ErrInternal, operator.ErrOutcomeUnknown)
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// summarize returns one line with the totals of all zones and the note.
func summarize(p progress) string {
	inForce, proxies := 0, 0
	for _, zone := range p.Zones {
		inForce += zone.InForce
		proxies += zone.Proxies
	}
	text := fmt.Sprintf("in force on %d of %d proxies", inForce, proxies)
	if p.Note != "" {
		text += " (" + p.Note + ")"
	}
	return text
}

// display writes the progress of a watch each time that it may have changed.
type display interface {
	show(p progress) error
}

// display returns the display for the output format: live on a terminal that understands ANSI sequences, plain text
// otherwise.
func (a *app) display(out io.Writer) display {
	if a.output == outputJSON {
		return &jsonDisplay{out: out}
	}
	if file, ok := out.(*os.File); ok && isatty.IsTerminal(file.Fd()) && os.Getenv("TERM") != "dumb" {
		return &liveDisplay{out: out}
	}
	return &plainDisplay{out: out}
}

// formatProgress returns the lines that a terminal or a text file shows: a summary, then each zone with its lagging
// proxies.
func formatProgress(p progress) []string {
	list := []string{fmt.Sprintf("version %d: %s, %s", p.Version, p.State, summarize(p))}
	for _, zone := range p.Zones {
		list = append(list, fmt.Sprintf("  %-16s %s %d/%d, %s", zone.Zone, progressBar(zone.InForce, zone.Proxies), zone.InForce,
			zone.Proxies, formatCountsAge(zone.AgeMs)))
		for _, proxy := range zone.Lagging {
			list = append(list, fmt.Sprintf("    %s has version %d: %s", proxy.ID, proxy.Version, proxy.Reason))
		}
	}
	return list
}

func progressBar(part, whole int) string {
	filled := 0
	if whole > 0 {
		filled = min(max(progressWidth*part/whole, 0), progressWidth)
	}
	return "[" + strings.Repeat("#", filled) + strings.Repeat(".", progressWidth-filled) + "]"
}

// formatCountsAge formats the age in milliseconds of a zone's counts.
func formatCountsAge(ms int64) string {
	if ms == operator.AgeUnknown {
		return "no figures yet"
	}
	return "figures " + (time.Duration(ms) * time.Millisecond).Round(100*time.Millisecond).String() + " old"
}

// liveDisplay redraws a block of lines in place on a terminal.
type liveDisplay struct {
	out io.Writer
	// drawnLines is the number of lines of the block on the screen.
	drawnLines int
}

// ANSI sequences that move the cursor to the start of the block and clear the screen below it.
const (
	cursorUp   = "\x1b[%dA"
	clearBelow = "\r\x1b[J"
)

func (d *liveDisplay) show(p progress) error {
	var text strings.Builder
	if d.drawnLines > 0 {
		fmt.Fprintf(&text, cursorUp, d.drawnLines)
	}
	text.WriteString(clearBelow)
	list := formatProgress(p)
	for _, line := range list {
		text.WriteString(printable(line))
		text.WriteString("\n")
	}
	d.drawnLines = len(list)
	_, err := io.WriteString(d.out, text.String())
	return errors.Wrap(err, "write output")
}

// printable replaces control characters with '?'. Names and reasons come from other processes and must not be able to
// control the operator's terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < 0x20 || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}

// plainDisplay writes those lines that were not in the previous progress. A zone's line that differs only in the age of
// the counts is not written again.
type plainDisplay struct {
	out io.Writer
	// previousLines holds the lines of the previous progress, without ages.
	previousLines map[string]bool
}

func (d *plainDisplay) show(p progress) error {
	current := make(map[string]bool)
	for i, line := range formatProgress(p) {
		line = printable(line)
		key := line
		if i > 0 && strings.Contains(line, "figures") {
			key, _, _ = strings.Cut(line, ", ")
		}
		current[key] = true
		if d.previousLines[key] {
			continue
		}
		if _, err := fmt.Fprintln(d.out, line); err != nil {
			return errors.Wrap(err, "write output")
		}
	}
	d.previousLines = current
	return nil
}

// jsonDisplay writes the progress as one JSON object per line when something other than the age of the counts changes.
type jsonDisplay struct {
	out io.Writer
	// previous is the previous progress without ages, formatted.
	previous string
}

func (d *jsonDisplay) show(p progress) error {
	key := fmt.Sprint(withoutAges(p))
	if key == d.previous {
		return nil
	}
	d.previous = key
	return errors.Wrap(json.NewEncoder(d.out).Encode(p), "write output")
}

// withoutAges returns a copy of the progress in which all ages are 0.
func withoutAges(p progress) progress {
	zones := make([]zoneProgress, 0, len(p.Zones))
	for _, zone := range p.Zones {
		zone.AgeMs = 0
		zones = append(zones, zone)
	}
	p.Zones = zones
	return p
}
