package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/internal/httpresponse"
	"sapphiregate.example/sapphiregate/node"
)

// maxExplanationBytes limits a node's answer: about 300 bytes for each upstream of a service.
const maxExplanationBytes = 8 << 20

// Errors of explain.
var (
	// ErrWouldRefuse reports that the node would refuse the request.
	ErrWouldRefuse = errors.New("the request would be refused")
	// ErrNodeUnreachable reports that the node did not answer.
	ErrNodeUnreachable = errors.New("the node cannot be reached")
)

// obstacleTexts explains why an upstream does not get the request.
var obstacleTexts = map[balance.Obstacle]string{
	balance.Suspended:    "suspended: its instance does not respond",
	balance.Excluded:     "tried already",
	balance.Ejected:      "ejected: its connections failed",
	balance.NotServing:   "suspect, and others serve",
	balance.OtherRelease: "not of the release that gets this request, or not chosen for it",
	balance.OtherZone:    "zone not worth the way, or slower",
}

func (a *app) explainCommand() *cobra.Command {
	address, query := "", url.Values{}
	var host, method, team string
	command := &cobra.Command{
		Use:   "explain PATH --node ADDRESS",
		Short: "Show where a node would send a request now, and why, without sending it",
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if address == "" {
				return usageError("--node is not set")
			}
			for name, value := range map[string]string{"path": args[0], "host": host, "method": method, "team": team} {
				query.Set(name, value)
			}
			ctx, cancel := a.requestContext(c)
			defer cancel()
			x, err := fetchExplanation(ctx, address, query)
			if err != nil {
				return err
			}
			if err := a.print(c, x, func(w io.Writer) { printExplanation(w, x) }); err != nil {
				return err
			}
			if x.Refused != "" {
				return errors.Wrapf(ErrWouldRefuse, "reason %s", printable(string(x.Refused)))
			}
			return nil
		},
	}
	command.Flags().StringVar(&address, "node", "", "admin address of the node, host:port")
	command.Flags().StringVar(&host, "host", "", "host that the request names")
	command.Flags().StringVar(&method, "method", http.MethodGet, "method of the request")
	command.Flags().StringVar(&team, "team", "", "name of the caller's team; default: a request without a key")
	return command
}

func fetchExplanation(ctx context.Context, address string, query url.Values) (*node.Explanation, error) {
	target := url.URL{Scheme: "http", Host: address, Path: node.PathExplain, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, usageError("--node: %v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(ErrNodeUnreachable, "%v", err)
	}
	defer response.Body.Close()
	if err := httpresponse.Check(response); err != nil {
		return nil, errors.Wrapf(ErrNodeUnreachable, "%v", err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, errors.Wrapf(ErrNodeUnreachable, "%v", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, usageError("the node answers %s: %s", response.Status, printable(strings.TrimSpace(string(body))))
	}
	x := &node.Explanation{}
	return x, errors.Wrap(json.Unmarshal(body, x), "explanation of the node")
}

func printExplanation(w io.Writer, x *node.Explanation) {
	fmt.Fprintf(w, "node\t%s, zone %s, version %d in force\n", printable(x.Node), printable(x.Zone), x.Version)
	if x.Route != nil {
		fmt.Fprintf(w, "route\t%s, class %s, deadline %d ms, target %s\n", printable(x.Route.Name), x.Route.Class,
			x.Route.DeadlineMs, millisecondsOrNone(x.Route.TargetMs))
	}
	if x.Team != nil {
		fmt.Fprintf(w, "team\t%s, %s\n", printable(x.Team.Name), quotaText(x.Team))
	}
	if x.Service != "" {
		fmt.Fprintf(w, "service\t%s%s\n", printable(x.Service), splitText(x))
	}
	if x.Rollout != nil {
		fmt.Fprintf(w, "rollout\trelease %s, %s\n", printable(x.Rollout.Release), x.Rollout.State)
	}
	if rule := x.ReleaseRule; rule != nil {
		fmt.Fprintf(w, "release rule\t%.1f%% of the calls to %s, forbidden: %t\n", 100*rule.Share, printable(rule.Release),
			rule.Forbidden)
	}
	if own := x.OwnUpstream; own != nil {
		fmt.Fprintf(w, "own upstream\t%s; %d slots, %d running, %d waiting\n", ownUpstreamText(own), own.Slots, own.Running,
			own.Waiting)
	}
	if x.Refused != "" {
		fmt.Fprintf(w, "decision\trefused: %s, status %d, Retry-After %s\n", printable(string(x.Refused)), x.Status,
			millisecondsOrNone(int(x.RetryAfterMs)))
	} else {
		fmt.Fprintf(w, "decision\tsent to %s\n", printable(x.Target))
	}
	if len(x.Candidates) == 0 {
		return
	}
	fmt.Fprintln(w, "\nCANDIDATE\tZONE\tSTATE\tRELEASE\tSLOTS\tLOAD\tSPEED\tSERVICE\tRESPONSE\tODDS\tRULED OUT")
	for _, e := range x.Candidates {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.2f\t%.2f\t%.1f ms\t%.1f ms\t%.1f%%\t%s\n", printable(e.ID), printable(e.Zone),
			e.State, cmp.Or(printable(e.Release), "-"), e.Slots, e.Load, e.Speed, e.ServiceMs, e.ResponseMs, 100*e.Odds,
			cmp.Or(obstacleTexts[e.RuledOut], printable(string(e.RuledOut)), "-"))
	}
}

func millisecondsOrNone(milliseconds int) string {
	if milliseconds == 0 {
		return "none"
	}
	return fmt.Sprintf("%d ms", milliseconds)
}

func quotaText(team *node.ExplainedTeam) string {
	if team.Quota == "" {
		return "no quota"
	}
	return fmt.Sprintf("quota %g requests/s, burst %g, %d tokens in hand: %s", team.RequestsPerSecond, team.Burst,
		team.InHand, printable(team.Quota))
}

func splitText(x *node.Explanation) string {
	text := ""
	for _, share := range x.Split {
		text += fmt.Sprintf(", %s: %d", printable(share.Service), share.Weight)
	}
	return text
}

func ownUpstreamText(own *node.ExplainedUpstream) string {
	text := own.Decision
	if own.WaitMs > 0 {
		text += fmt.Sprintf(" for %s", time.Duration(own.WaitMs*float64(time.Millisecond)))
	}
	if own.Reason != "" {
		text += fmt.Sprintf(" (%s, Retry-After %s)", printable(string(own.Reason)), millisecondsOrNone(int(own.RetryAfterMs)))
	}
	return text
}
