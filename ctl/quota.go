package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/coordination/quota"
)

func (a *app) quotasCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "quotas [TEAM...]",
		Short: "Show the limits of teams, what they use and which nodes hold their tokens",
		Args:  cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, teams []string) error {
			status, err := a.quotaOwner(c)
			if err != nil {
				return err
			}
			if len(teams) > 0 {
				status.Accounts = slices.DeleteFunc(status.Accounts, func(account quota.AccountStatus) bool {
					return !slices.Contains(teams, account.Team)
				})
			}
			return a.print(c, status, func(w io.Writer) { printQuotas(w, status, len(teams) > 0) })
		},
	}
}

// quotaOwner returns the status of the member that holds the accounts, which is one of those at the addresses of
// --control.
func (a *app) quotaOwner(c *cobra.Command) (quota.OwnerStatus, error) {
	ctx, cancel := a.requestContext(c)
	defer cancel()
	var failure error
	for _, address := range a.control {
		single := *a
		single.control = []string{address}
		client, err := single.client()
		if err != nil {
			return quota.OwnerStatus{}, err
		}
		dump, err := client.Dump(ctx)
		if err != nil {
			failure = err
			continue
		}
		var state struct {
			Quotas quota.OwnerStatus `json:"quotas"`
		}
		if err := json.Unmarshal(dump.State, &state); err != nil {
			return quota.OwnerStatus{}, errors.Wrapf(err, "state dump of %s", address)
		}
		if state.Quotas.IsOwner {
			return state.Quotas, nil
		}
	}
	if failure == nil {
		failure = errors.New("no member at the addresses of --control holds the accounts at present")
	}
	return quota.OwnerStatus{}, failure
}

// printQuotas prints one line for each account and, if asked for, the nodes that hold its tokens.
func printQuotas(w io.Writer, status quota.OwnerStatus, nodes bool) {
	fmt.Fprintln(w, "TEAM\tRATE\tBURST\tLEVEL\tLENT\tNODES\tASKED\tREFUSED\tBELOW LIMIT\tLIMITED")
	for _, account := range status.Accounts {
		lent := 0
		for _, tokens := range account.LentTo {
			lent += tokens
		}
		fmt.Fprintf(w, "%s\t%g\t%g\t%.1f\t%d\t%d\t%d\t%d\t%d\t%t\n", printable(account.Team), account.Limit.Rate,
			account.Limit.Burst, account.Level, lent, len(account.LentTo), account.Counts.Asked, account.Counts.Refused,
			account.Counts.RefusedBelow, account.Limited)
	}
	for _, account := range status.Accounts {
		if !nodes || len(account.LentTo) == 0 {
			continue
		}
		var parts []string
		for _, node := range slices.Sorted(maps.Keys(account.LentTo)) {
			parts = append(parts, fmt.Sprintf("%s: %d", printable(node), account.LentTo[node]))
		}
		fmt.Fprintf(w, "tokens of %s\t%s\n", printable(account.Team), strings.Join(parts, ", "))
	}
}
