package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/protocol/operator"
)

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the latest version, staged bundles and the proxies of each availability zone",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			ctx, cancel := a.requestContext(c)
			defer cancel()
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			return a.print(c, status, func(w io.Writer) { printStatus(w, status) })
		},
	}
}

func printStatus(w io.Writer, s operator.Status) {
	leader := s.Leader
	if leader == "" {
		leader = "none known"
	}
	fmt.Fprintf(w, "answered by\t%s\n", s.Member)
	fmt.Fprintf(w, "leader\t%s\n", leader)
	fmt.Fprintf(w, "confirmed by a quorum\t%s\n", formatAge(s.ConfirmedAgeMs))
	if s.Latest == nil {
		fmt.Fprintln(w, "latest version\tnone")
	} else {
		fmt.Fprintf(w, "latest version\t%d, %s, digest %s, approved by %s\n", s.Latest.Version, s.Rollout,
			s.Latest.Digest.Short(), s.Latest.Operator)
	}
	for _, staged := range s.Staged {
		fmt.Fprintf(w, "staged\t%d, digest %s, by %s\n", staged.Version, staged.Digest.Short(), staged.Operator)
	}
	fmt.Fprintf(w, "keyring\t%s\n\n", s.Keyring.Short())
	printZones(w, s.Zones)
}

func printZones(w io.Writer, zones []operator.ZoneStatus) {
	fmt.Fprintln(w, "ZONE\tROLLOUT\tPROXIES\tVERSIONS\tFIGURES")
	for _, zone := range zones {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", zone.Zone, zone.Rollout, zone.Proxies, formatVersionCounts(zone.Versions),
			formatAge(zone.AgeMs))
	}
	for _, zone := range zones {
		for _, proxy := range zone.Lagging {
			fmt.Fprintf(w, "lagging\t%s in %s has version %d: %s\n", printable(proxy.ID), zone.Zone, proxy.Version,
				printable(proxy.Reason))
		}
	}
}

func formatVersionCounts(counts []operator.VersionCount) string {
	text := ""
	for _, count := range counts {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%d: %d", count.Version, count.Proxies)
	}
	return text
}

// formatAge formats an age in milliseconds; operator.AgeUnknown is "never".
func formatAge(ms int64) string {
	if ms == operator.AgeUnknown {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}

func (a *app) historyCommand() *cobra.Command {
	limit := 0
	command := &cobra.Command{
		Use:   "history",
		Short: "List approvals, stops and withdrawals, newest first",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if limit < 1 || limit > operator.MaxHistoryLimit {
				return usageError("--limit %d: allowed: 1 to %d", limit, operator.MaxHistoryLimit)
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			ctx, cancel := a.requestContext(c)
			defer cancel()
			history, err := client.History(ctx, operator.HistoryRequest{Limit: limit})
			if err != nil {
				return err
			}
			return a.print(c, history, func(w io.Writer) {
				fmt.Fprintln(w, "INDEX\tVERSION\tACTION\tDIGEST\tOPERATOR")
				for _, r := range history.Records {
					fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\n", r.Index, r.Version, r.Action, r.Digest.Short(), r.Operator)
				}
			})
		},
	}
	command.Flags().IntVar(&limit, "limit", operator.DefaultHistoryLimit, "greatest number of records")
	return command
}

func (a *app) dumpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "dump",
		Short: "Print the state dump of the member that answers",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			ctx, cancel := a.requestContext(c)
			defer cancel()
			dump, err := client.Dump(ctx)
			if err != nil {
				return err
			}
			return a.print(c, dump, func(w io.Writer) {
				fmt.Fprintf(w, "member\t%s\n", dump.Member)
				text, _ := json.MarshalIndent(dump.State, "", "  ")
				fmt.Fprintln(w, string(text))
			})
		},
	}
}

func (a *app) quarantineCommand() *cobra.Command {
	list := &cobra.Command{
		Use:   "list",
		Short: "List the requests that crashed upstreams",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			ctx, cancel := a.requestContext(c)
			defer cancel()
			response, err := client.Quarantine(ctx)
			if err != nil {
				return err
			}
			return a.print(c, response, func(w io.Writer) { printQuarantine(w, response.Entries) })
		},
	}
	return commandGroup("quarantine", "Show and clear requests that crashed upstreams", list, a.clearQuarantineCommand())
}

func printQuarantine(w io.Writer, entries []operator.QuarantineEntry) {
	fmt.Fprintln(w, "FINGERPRINT\tVERDICT\tCRASHES\tUPSTREAMS\tEXPIRES IN")
	for _, e := range entries {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", printable(e.Fingerprint), printable(e.Verdict), e.Crashes, len(e.Upstreams),
			time.Duration(e.ExpiresInMs)*time.Millisecond)
	}
}

func (a *app) clearQuarantineCommand() *cobra.Command {
	all := false
	command := &cobra.Command{
		Use:   "clear [FINGERPRINT...]",
		Short: "Allow quarantined requests again",
		RunE: func(c *cobra.Command, args []string) error {
			if all == (len(args) > 0) {
				return usageError("give fingerprints, or --all")
			}
			name, err := a.operatorName()
			if err != nil {
				return err
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			ctx, cancel := a.requestContext(c)
			defer cancel()
			response, err := client.ClearQuarantine(ctx,
				operator.ClearQuarantineRequest{Operator: name, Fingerprints: args})
			if err != nil {
				return err
			}
			return a.print(c, response, func(w io.Writer) { fmt.Fprintf(w, "%d cleared\n", response.Cleared) })
		},
	}
	command.Flags().BoolVar(&all, "all", false, "clear all fingerprints")
	return command
}

func (a *app) membersCommand() *cobra.Command {
	return commandGroup("members", "Show and change the control members",
		a.memberListCommand(), a.memberAddCommand(), a.memberRemoveCommand(), a.memberReplaceCommand())
}

// runMembersRequest calls send with a client and prints the membership that it returns. Commands that change the
// membership use waitContext in send, because a new member has to catch up with the log before it votes.
func (a *app) runMembersRequest(
	c *cobra.Command, send func(c *cobra.Command, api *operator.Client) (operator.MembersResponse, error),
) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	response, err := send(c, client)
	if err != nil {
		return err
	}
	return a.print(c, response, func(w io.Writer) { printMembers(w, response) })
}

func printMembers(w io.Writer, response operator.MembersResponse) {
	fmt.Fprintf(w, "term %d, commit index %d\n", response.Term, response.Commit)
	fmt.Fprintln(w, "ID\tZONE\tADDRESS\tROLE\tSTORED INDEX\tLAST CONTACT")
	for _, m := range response.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", m.ID, m.Zone, m.Address, memberRole(m), m.Match, formatAge(m.LastContactMs))
	}
}

func memberRole(m operator.Member) string {
	switch {
	case m.Leader:
		return "leader"
	case m.Learner:
		return "learner"
	default:
		return "follower"
	}
}

func (a *app) memberListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the control members",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return a.runMembersRequest(c, func(c *cobra.Command, api *operator.Client) (operator.MembersResponse, error) {
				ctx, cancel := a.requestContext(c)
				defer cancel()
				return api.Members(ctx)
			})
		},
	}
}

func (a *app) memberAddCommand() *cobra.Command {
	learner := false
	command := &cobra.Command{
		Use:   "add ID ADDRESS ZONE",
		Short: "Add a member; it votes once it has caught up",
		Args:  exactArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			return a.runMembersRequest(c, func(c *cobra.Command, api *operator.Client) (operator.MembersResponse, error) {
				ctx, cancel := a.waitContext(c)
				defer cancel()
				return api.AddMember(ctx,
					operator.AddMemberRequest{ID: args[0], Address: args[1], Zone: args[2], Learner: learner})
			})
		},
	}
	command.Flags().BoolVar(&learner, "learner", false, "keep the member a learner, which never votes")
	return command
}

func (a *app) memberRemoveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "remove ID",
		Short: "Remove a member",
		Args:  exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return a.runMembersRequest(c, func(c *cobra.Command, api *operator.Client) (operator.MembersResponse, error) {
				ctx, cancel := a.waitContext(c)
				defer cancel()
				return api.RemoveMember(ctx, operator.RemoveMemberRequest{ID: args[0]})
			})
		},
	}
}

func (a *app) memberReplaceCommand() *cobra.Command {
	request := operator.ReplaceMemberRequest{}
	command := &cobra.Command{
		Use:   "replace OLD NEW --address ADDRESS",
		Short: "Replace a lost member: add NEW, wait until it votes, remove OLD",
		Args:  exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			request.Old, request.New = args[0], args[1]
			if request.Address == "" {
				return usageError("--address is not set")
			}
			return a.runMembersRequest(c, func(c *cobra.Command, api *operator.Client) (operator.MembersResponse, error) {
				return a.replaceMember(c, api, request)
			})
		},
	}
	command.Flags().StringVar(&request.Address, "address", "", "mesh address of NEW")
	command.Flags().StringVar(&request.Zone, "zone", "", "availability zone of NEW; default: that of OLD")
	return command
}

// replaceMember sends the request. If it names no zone, the new member is in the zone of the old one.
func (a *app) replaceMember(
	c *cobra.Command, api *operator.Client, request operator.ReplaceMemberRequest,
) (operator.MembersResponse, error) {
	ctx, cancel := a.waitContext(c)
	defer cancel()
	if request.Zone != "" {
		return api.ReplaceMember(ctx, request)
	}
	current, err := api.Members(ctx)
	if err != nil {
		return current, err
	}
	for _, member := range current.Members {
		if member.ID == request.Old {
			request.Zone = member.Zone
			return api.ReplaceMember(ctx, request)
		}
	}
	return current, errors.Wrapf(operator.ErrNotFound, "member %s", request.Old)
}
