package ctl_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/ctl"
	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 20261204
	RunSpecs(t, "ctl", suite, reporter)
}

const kalasagBundle = "../examples/kalasag"

// fakeMember serves the operator API over a registry, without a group of members.
type fakeMember struct {
	operator.Backend
	mu       sync.Mutex
	registry *registry.Registry
	index    uint64
	// zones holds the zones of successive status responses. The last element repeats.
	zones    [][]operator.ZoneStatus
	replaced operator.ReplaceMemberRequest
	// dropStaged makes the next approval fail as if its staged bundle had been dropped for newer ones.
	dropStaged bool
	// interrupt cancels the command during the status request in which interruptAt reaches 0; each request decrements it.
	interrupt   func()
	interruptAt int
}

func (m *fakeMember) apply(c registry.Command) (operator.Decision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index++
	// As a leader that has proposed all entries itself, right after each other.
	c.Stamp(time.Now(), func(string) *registry.LatestOrder {
		return &registry.LatestOrder{ResendMs: time.Minute.Milliseconds()}
	})
	return operator.DecisionFromResult(m.registry.Apply(m.index, c))
}

func (m *fakeMember) Stage(_ context.Context, r operator.StageRequest) (operator.Decision, error) {
	return m.apply(registry.Command{RequestID: r.RequestID, Stage: &registry.Stage{
		Version: r.Version, Digest: r.Digest, Operator: r.Operator, Update: r.Update}})
}

func (m *fakeMember) Approve(_ context.Context, r operator.ApproveRequest) (operator.Decision, error) {
	if m.dropStaged {
		m.dropStaged = false
		return operator.Decision{}, &operator.Error{Kind: operator.ErrNotStaged}
	}
	return m.apply(registry.Command{RequestID: r.RequestID, Approve: &r.Approval})
}

func (m *fakeMember) Replace(_ context.Context, r operator.ReplaceRequest) (operator.Decision, error) {
	return m.apply(registry.Command{RequestID: r.RequestID, Approve: &r.Approval})
}

func (m *fakeMember) Stop(_ context.Context, r operator.StopRequest) (operator.Decision, error) {
	return m.apply(registry.Command{RequestID: r.RequestID, Stop: &r.Stop})
}

func (m *fakeMember) Status(context.Context) (operator.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.registry.State()
	m.interruptAt--
	if m.interrupt != nil && m.interruptAt == 0 {
		m.interrupt()
	}
	status := operator.Status{Member: "m1", Leader: "m1", Latest: state.Latest, Rollout: operator.RolloutInProgress}
	if state.Stopped {
		status.Rollout = operator.RolloutStopped
	}
	if len(m.zones) > 0 {
		status.Zones = m.zones[0]
	}
	if len(m.zones) > 1 {
		m.zones = m.zones[1:]
	}
	return status, nil
}

func (m *fakeMember) History(context.Context, operator.HistoryRequest) (operator.HistoryResponse, error) {
	return operator.HistoryResponse{Records: m.registry.History()}, nil
}

func (m *fakeMember) Members(context.Context) (operator.MembersResponse, error) {
	return operator.MembersResponse{Term: 3, Members: []operator.Member{{ID: "old", Zone: "luzon-b", Learner: true}}}, nil
}

func (m *fakeMember) ReplaceMember(ctx context.Context, r operator.ReplaceMemberRequest) (operator.MembersResponse, error) {
	m.replaced = r
	return m.Members(ctx)
}

func (m *fakeMember) Quarantine(context.Context) (operator.QuarantineResponse, error) {
	return operator.QuarantineResponse{Entries: []operator.QuarantineEntry{{Fingerprint: "ab\x1b[2J", Crashes: 2}}}, nil
}

func (m *fakeMember) ClearQuarantine(_ context.Context, r operator.ClearQuarantineRequest) (operator.ClearQuarantineResponse, error) {
	return operator.ClearQuarantineResponse{Cleared: len(r.Fingerprints)}, nil
}

func (m *fakeMember) StartRollout(_ context.Context, r operator.StartRolloutRequest) (operator.Decision, error) {
	return m.apply(registry.Command{RequestID: r.RequestID, Rollout: &registry.RolloutChange{Start: &registry.StartRollout{
		Service: r.Service, Release: r.Release, DurationMs: r.DurationMs, Operator: r.Operator}}})
}

func (m *fakeMember) CancelRollout(_ context.Context, r operator.CancelRolloutRequest) (operator.Decision, error) {
	return m.apply(registry.Command{RequestID: r.RequestID, Rollout: &registry.RolloutChange{Cancel: &registry.CancelRollout{
		Service: r.Service, Release: r.Release, Operator: r.Operator}}})
}

func (m *fakeMember) Rollouts(context.Context) (operator.RolloutsResponse, error) {
	var response operator.RolloutsResponse
	for _, r := range m.registry.Rollouts() {
		response.Rollouts = append(response.Rollouts, operator.ReleaseRollout{Rollout: r, Evidence: "3 of 9 calls\x1b"})
	}
	return response, nil
}

func (m *fakeMember) Dump(context.Context) (operator.DumpResponse, error) {
	return operator.DumpResponse{Member: "m1", State: json.RawMessage(`{"term":3}`)}, nil
}

// zoneStatus returns the counts of a zone with 4 proxies, of which some have version 2 in force and the others version
// 1. The age of the counts is in milliseconds.
func zoneStatus(inForce int, age int64) operator.ZoneStatus {
	z := operator.ZoneStatus{Zone: "luzon-a", Proxies: 4, LowestVersion: 1, AgeMs: age,
		Versions: []operator.VersionCount{{Version: 2, Proxies: inForce}, {Version: 1, Proxies: 4 - inForce}}}
	if inForce < 4 {
		z.Lagging = []operator.LaggingProxy{{ID: "n7", Version: 1, Reason: "waiting for parts"}}
	}
	return z
}

// harness runs commands against a fakeMember. Its folder holds the private keys of the operators ana and ben.
type harness struct {
	member  *fakeMember
	address string
	folder  string
}

func newHarness() *harness {
	h := &harness{folder: GinkgoT().TempDir()}
	keys := make(map[string][]ed25519.PublicKey)
	for i, name := range []string{"ana", "ben"} {
		key, err := bundle.GenerateKey(name, bytes.NewReader(bytes.Repeat([]byte{byte(i + 1)}, 64)))
		Expect(err).NotTo(HaveOccurred())
		Expect(key.Save(filepath.Join(h.folder, name))).To(Succeed())
		keys[name] = []ed25519.PublicKey{key.Key.Public().(ed25519.PublicKey)}
	}
	h.member = &fakeMember{registry: registry.New(bundle.NewKeyring(keys))}
	server := httptest.NewServer(operator.NewHandler(h.member))
	DeferCleanup(server.Close)
	h.address = strings.TrimPrefix(server.URL, "http://")
	return h
}

// run executes a command with the key of the named operator and returns its outputs and exit code.
func (h *harness) run(name string, args ...string) (stdout, stderr string, code int) {
	var out, errs bytes.Buffer
	root := ctl.NewRoot()
	root.SetOut(&out)
	root.SetErr(&errs)
	root.SetArgs(append(args, "--insecure", "--control", h.address, "--key", filepath.Join(h.folder, name),
		"--interval", "1ms"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.member.interrupt = cancel
	code = ctl.Execute(ctx, root)
	return out.String(), errs.String(), code
}

// mustRun executes a command as ana and returns its standard output. The command has to succeed.
func (h *harness) mustRun(args ...string) string {
	GinkgoHelper()
	stdout, stderr, code := h.run("ana", args...)
	Expect(code).To(Equal(ctl.ExitOK), stderr)
	return stdout
}

var _ = Describe("sapphirectl", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	It("approves, returns the first result to a repeated command and names the operator who won the version", func() {
		first := h.mustRun("approve", kalasagBundle, "--version", "1")
		Expect(first).To(ContainSubstring("version 1 approved at log index 2"))
		Expect(h.mustRun("approve", kalasagBundle, "--version", "1")).To(Equal(first))
		_, stderr, code := h.run("ben", "approve", "../examples/kartuli", "--version", "1")
		Expect(code).To(Equal(ctl.ExitRefused))
		Expect(stderr).To(And(ContainSubstring("approved by ana"), ContainSubstring("next: another operator won")))
		_, stderr, code = h.run("ben", "approve", "../examples/kartuli", "--version", "1", "--output", "json")
		Expect(code).To(Equal(ctl.ExitRefused))
		var failure struct{ Error struct{ Code, Next string } }
		Expect(json.Unmarshal([]byte(stderr), &failure)).To(Succeed())
		Expect(failure.Error.Code).To(Equal("version-taken"))
	})

	It("approves a built bundle with an approval signed before, and refuses another or a damaged bundle", func() {
		file, approval := filepath.Join(h.folder, "k.bundle"), filepath.Join(h.folder, "approval")
		h.mustRun("bundle", "build", kalasagBundle, "--file", file)
		Expect(h.mustRun("bundle", "diff", kalasagBundle, file)).To(Equal("no differences\n"))
		h.mustRun("bundle", "sign", file, "--version", "4", "--file", approval)
		_, _, code := h.run("ben", "approve", "../examples/kartuli", "--approval", approval)
		Expect(code).To(Equal(ctl.ExitUsage))
		_, stderr, code := h.run("none", "approve", file, "--approval", approval)
		Expect(code).To(Equal(ctl.ExitOK), stderr)
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(file, data[:len(data)-9], 0o644)).To(Succeed())
		_, _, code = h.run("ana", "approve", file, "--version", "5")
		Expect(code).To(Equal(ctl.ExitFailure))
		Expect(h.member.registry.State().Latest.Version).To(Equal(uint64(4)))
	})

	// Guards against keys of teams on terminals, in the logs of pipelines and in files that others can read.
	It("shows no key of a team in any output", func() {
		folder, file := GinkgoT().TempDir(), filepath.Join(h.folder, "t.bundle")
		write := func(teams string) {
			content := `{"services":[{"name":"s"}],"teams":[` + teams + `]}`
			Expect(os.WriteFile(filepath.Join(folder, "b.json"), []byte(content), 0o600)).To(Succeed())
		}
		write(`{"name":"a","keys":["secret-1"]}`)
		Expect(os.WriteFile(file, nil, 0o644)).To(Succeed())
		output := h.mustRun("bundle", "validate", folder) + h.mustRun("bundle", "build", folder, "--file", file)
		Expect(output).To(ContainSubstring("1 teams"))
		info, err := os.Stat(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
		write(`{"name":"a","keys":["secret-1","secret-2"]}`)
		for _, format := range []string{"text", "json"} {
			diff := h.mustRun("bundle", "diff", file, folder, "--output", format)
			Expect(diff).To(ContainSubstring("sha256:"))
			output += diff + h.mustRun("approve", folder, "--version", "1", "--output", format)
			for _, command := range []string{"status", "history", "dump"} {
				output += h.mustRun(command, "--output", format)
			}
		}
		write(`{"name":"a","keys":["secret-1"]},{"name":"b","keys":["secret-1"]}`)
		_, stderr, code := h.run("ana", "bundle", "validate", folder)
		Expect(code).To(Equal(ctl.ExitInvalid))
		Expect(stderr).To(ContainSubstring("teams[1].keys[0]"))
		Expect(output + stderr).NotTo(ContainSubstring("secret"))
	})

	// Guards against a mesh that is opened or closed to all callers without a word to the operator, and against a built file
	// that loses the access.
	It("tells whom a bundle admits", func() {
		folder, file := GinkgoT().TempDir(), filepath.Join(h.folder, "t.bundle")
		write := func(more string) {
			Expect(os.WriteFile(filepath.Join(folder, "b.json"), []byte(`{"services":[{"name":"s"}]`+more+`}`), 0o600)).To(Succeed())
		}
		write(`,"teams":[]`)
		Expect(h.mustRun("bundle", "build", folder, "--file", file)).To(ContainSubstring("keys (callers need a key of a team)"))
		Expect(h.mustRun("bundle", "validate", file, "--output", "json")).To(ContainSubstring(`"access": "keys"`))
		Expect(h.mustRun("bundle", "diff", file, folder)).To(ContainSubstring("no differences"))
		write("")
		Expect(h.mustRun("bundle", "diff", file, folder)).To(Equal("~ access of callers\n    access: keys (callers need a key of a team)" +
			" -> open (callers need no key)\n"))
		Expect(h.mustRun("approve", folder, "--version", "1")).To(ContainSubstring("access open (callers need no key)"))
	})

	It("stages again when the staged bundle was dropped before its approval", func() {
		h.member.dropStaged = true
		Expect(h.mustRun("approve", kalasagBundle, "--version", "1")).To(ContainSubstring("approved"))
	})

	It("lists all errors of an invalid bundle and stages nothing", func() {
		folder := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(folder, "b.json"), []byte(`{"services":[{"name":"A"}],"x":1}`), 0o644)).To(Succeed())
		_, stderr, code := h.run("ana", "approve", folder, "--version", "1")
		Expect(code).To(Equal(ctl.ExitInvalid))
		Expect(stderr).To(And(ContainSubstring("b.json: services[0].name"), ContainSubstring("b.json: x")))
		Expect(h.member.index).To(BeZero())
	})

	It("watches until every proxy has the version, and writes only changed lines when the output is not a terminal", func() {
		h.mustRun("approve", kalasagBundle, "--version", "1")
		h.member.zones = [][]operator.ZoneStatus{{zoneStatus(1, 0)}, {zoneStatus(1, 200)}, {zoneStatus(4, 20_000)}, {zoneStatus(4, 100)}}
		out := h.mustRun("replace", "1", "2", "../examples/kartuli", "--wait")
		Expect(out).To(ContainSubstring("luzon-a          [#####...............] 1/4"))
		Expect(strings.Count(out, "n7 has version 1: waiting for parts")).To(Equal(1))
		Expect(out).To(ContainSubstring("the figures are too old to judge"))
		Expect(out).To(ContainSubstring("version 2: in-force, in force on 4 of 4 proxies"))
	})

	It("writes one JSON object for each change of a watch", func() {
		h.mustRun("approve", kalasagBundle, "--version", "1")
		h.mustRun("approve", kalasagBundle, "--version", "2")
		h.member.zones = [][]operator.ZoneStatus{{zoneStatus(3, 0)}, {zoneStatus(3, 1)}, {zoneStatus(4, 0)}}
		out := strings.Split(strings.TrimSpace(h.mustRun("watch", "2", "-o", "json")), "\n")
		Expect(out).To(HaveLen(2))
		Expect(out[1]).To(ContainSubstring(`"state":"in-force"`))
	})

	It("has exit codes of their own for a watch that is interrupted or times out and for a stopped rollout", func() {
		h.mustRun("approve", kalasagBundle, "--version", "2")
		h.member.zones = [][]operator.ZoneStatus{{zoneStatus(1, 0)}}
		h.member.interruptAt = 4
		_, stderr, code := h.run("ana", "watch")
		Expect(code).To(Equal(ctl.ExitNotInForce), stderr)
		Expect(stderr).To(ContainSubstring("in force on 1 of 4 proxies"))
		_, _, code = h.run("ana", "watch", "--wait-timeout", "1ms")
		Expect(code).To(Equal(ctl.ExitNotInForce))
		h.mustRun("stop", "2")
		_, _, code = h.run("ana", "watch")
		Expect(code).To(Equal(ctl.ExitStopped))
		Expect(h.mustRun("history")).To(ContainSubstring("stopped"))
		Expect(h.mustRun("status")).To(And(ContainSubstring("2, stopped"), ContainSubstring("n7 in luzon-a has version 1")))
	})

	It("does not report a version as in force while no proxy is counted", func() {
		h.mustRun("approve", kalasagBundle, "--version", "1")
		h.member.interruptAt = 3
		_, stderr, code := h.run("ana", "watch", "1")
		Expect(code).To(Equal(ctl.ExitNotInForce))
		Expect(stderr).To(ContainSubstring("no proxy is counted"))
	})

	It("refuses to replace a version that is no longer the latest, and names the next step", func() {
		h.mustRun("approve", kalasagBundle, "--version", "1")
		h.mustRun("approve", kalasagBundle, "--version", "2")
		_, stderr, code := h.run("ben", "replace", "1", "3", kalasagBundle)
		Expect(code).To(Equal(ctl.ExitRefused))
		Expect(stderr).To(And(ContainSubstring("winner: version 2"), ContainSubstring("next: run 'sapphirectl status'")))
	})

	It("puts a replacement member into the zone of the old one, and refuses to replace an unknown member", func() {
		h.mustRun("members", "replace", "old", "new", "--address", "10.0.0.9:7000")
		Expect(h.member.replaced.Zone).To(Equal("luzon-b"))
		Expect(h.mustRun("members", "list")).To(ContainSubstring("learner"))
		_, _, code := h.run("ana", "members", "replace", "absent", "new", "--address", "10.0.0.9:7000")
		Expect(code).To(Equal(ctl.ExitRefused))
	})

	It("starts, lists and cancels the rollout of a release", func() {
		h.mustRun("approve", kalasagBundle, "--version", "1")
		start := []string{"release", "start", "rank-lookup", "v2", "--duration", "10m"}
		first := h.mustRun(start...)
		Expect(first).To(ContainSubstring("release v2 of service rank-lookup: rollout-started"))
		Expect(h.mustRun(start...)).To(Equal(first))
		_, stderr, code := h.run("ben", "release", "start", "rank-lookup", "v3", "--duration", "10m")
		Expect(code).To(Equal(ctl.ExitRefused))
		Expect(stderr).To(And(ContainSubstring(`release "v2"`), ContainSubstring("next: wait until")))
		_, _, code = h.run("ben", "release", "start", "nobody", "v3", "--duration", "10m")
		Expect(code).To(Equal(ctl.ExitRefused))
		for _, duration := range []string{"0s", "-1m", "100000h"} {
			_, _, code = h.run("ben", "release", "start", "rank-lookup", "v2", "--duration", duration)
			Expect(code).To(Equal(ctl.ExitUsage))
		}
		Expect(h.mustRun("release", "list")).To(MatchRegexp(`rank-lookup +v2 +running +0.0% +10m0s +ana +waits for .* 3 of 9 calls\?`))
		Expect(h.mustRun("release", "cancel", "rank-lookup", "v2")).To(ContainSubstring("rollout-canceled"))
		Expect(h.mustRun("release", "list", "-o", "json")).To(ContainSubstring(`"state": "rolled-back"`))
		_, _, code = h.run("ben", "release", "cancel", "rank-lookup", "v9")
		Expect(code).To(Equal(ctl.ExitRefused))
	})

	It("shows the quarantine without control characters, clears it, and prints the state dump", func() {
		Expect(h.mustRun("quarantine", "list")).To(And(ContainSubstring("ab?[2J"), Not(ContainSubstring("\x1b"))))
		Expect(h.mustRun("quarantine", "clear", "ab")).To(Equal("1 cleared\n"))
		Expect(h.mustRun("dump")).To(ContainSubstring(`"term": 3`))
	})

	It("generates a private key whose signatures the generated keyring verifies", func() {
		out := h.mustRun("keys", "generate", "eve", "--folder", h.folder, "-o", "json")
		var files struct{ Private, Keyring string }
		Expect(json.Unmarshal([]byte(out), &files)).To(Succeed())
		key, err := bundle.LoadKey(files.Private)
		Expect(err).NotTo(HaveOccurred())
		ring, err := bundle.LoadKeyring(files.Keyring)
		Expect(err).NotTo(HaveOccurred())
		Expect(ring.Verify(bundle.Sign(key.Key, bundle.Approval{Version: 1, Operator: "eve"}))).To(Succeed())
	})

	DescribeTable("reports wrong usage with its own exit code and a next step",
		func(args ...string) {
			_, stderr, code := h.run("ana", args...)
			Expect(code).To(Equal(ctl.ExitUsage), stderr)
			Expect(stderr).To(ContainSubstring("next:"))
		},
		Entry("unknown command", "rollback"),
		Entry("unknown subcommand", "bundle", "burn"),
		Entry("unknown flag", "status", "--loud"),
		Entry("missing argument", "stop"),
		Entry("version 0", "stop", "0"),
		Entry("older replacement", "replace", "2", "1", kalasagBundle),
		Entry("output format", "status", "-o", "xml"),
		Entry("no version", "approve", kalasagBundle),
	)

	It("has every command and exit code on the operators' page", func() {
		data, err := os.ReadFile("../docs/operators.md")
		Expect(err).NotTo(HaveOccurred())
		page := string(data)
		var visit func(c *cobra.Command)
		visit = func(c *cobra.Command) {
			for _, sub := range c.Commands() {
				if !sub.HasSubCommands() {
					path := strings.TrimPrefix(sub.CommandPath(), "sapphirectl ")
					Expect(page).To(ContainSubstring("| `" + path))
				}
				visit(sub)
			}
		}
		visit(ctl.NewRoot())
		for code, name := range []string{"ExitOK", "ExitFailure", "ExitUsage", "ExitInvalid", "ExitRefused",
			"ExitUnreachable", "ExitUnknown", "ExitNotInForce", "ExitStopped"} {
			Expect(page).To(ContainSubstring(fmt.Sprintf("| %d | `%s` |", code, name)))
		}
	})

	It("reports an unreachable control member with its own exit code", func() {
		h.address = "127.0.0.1:1"
		_, _, code := h.run("ana", "status", "--timeout", "50ms")
		Expect(code).To(Equal(ctl.ExitUnreachable))
	})
})
