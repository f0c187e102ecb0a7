package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// errLedgerUncertain means that the ledger did not confirm a command, which may or may not be committed.
var errLedgerUncertain = errors.New("node: the ledger did not confirm the command")

// errNotProposed means that no member accepted the command: it is certain that it was not proposed.
var errNotProposed = errors.New("node: no control member accepted the command")

const (
	// ledgerAttemptTimeout bounds one proposal, so that another member is tried if the leader is cut off.
	ledgerAttemptTimeout = time.Second
	ledgerRetryDelay     = 20 * time.Millisecond
)

// ledgerClient sends commands to the leaders of the ledger groups. Commands are idempotent, so a command whose reply is
// lost is sent again. It is safe for concurrent use.
type ledgerClient struct {
	pool *rpc.Pool
	// members returns the known addresses of control members.
	members func() []string

	mu sync.Mutex
	// leaders is indexed by ledger group; its length is learned from replies.
	leaders []string
}

// commit commits a command and returns its result. It retries until the context ends, and then returns errNotProposed
// or errLedgerUncertain.
func (c *ledgerClient) commit(ctx context.Context, key string, command ledger.Command) (ledger.Result, error) {
	data, err := protocol.Marshal(command)
	if err != nil {
		return ledger.Result{}, err
	}
	request := &protocol.ProposeRequest{Target: protocol.TargetLedger, Key: key, Command: data}
	maybeProposed := false
	for attempt := 0; ; attempt++ {
		address := c.chooseMember(key, attempt)
		if address == "" {
			return ledger.Result{}, errors.Wrap(errNotProposed, "no member is known")
		}
		reply, err := c.propose(ctx, address, request)
		c.updateLeader(key, address, reply)
		if err == nil && reply.Status == protocol.ProposeApplied {
			var result ledger.Result
			return result, protocol.Unmarshal(reply.Result, &result)
		}
		maybeProposed = maybeProposed || err != nil || reply.Status == protocol.ProposeUncertain
		if ctx.Err() != nil {
			cause := errNotProposed
			if maybeProposed {
				cause = errLedgerUncertain
			}
			return ledger.Result{}, errors.Wrapf(cause, "%v", ctx.Err())
		}
		if attempt > 0 {
			sleep(ctx, ledgerRetryDelay)
		}
	}
}

// propose sends a command to one member.
func (c *ledgerClient) propose(
	ctx context.Context, address string, request *protocol.ProposeRequest,
) (*protocol.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerAttemptTimeout)
	defer cancel()
	return c.pool.Propose(ctx, address, request)
}

// chooseMember returns the leader of the key's group if it is known, otherwise the members in turn. It returns "" if no
// member is known.
func (c *ledgerClient) chooseMember(key string, attempt int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.leaders) > 0 {
		if leader := c.leaders[protocol.LedgerIndex(key, len(c.leaders))]; leader != "" {
			return leader
		}
	}
	members := c.members()
	if len(members) == 0 {
		return ""
	}
	return members[attempt%len(members)]
}

// updateLeader stores the leader that applied a command or that a member named, and removes one that gave neither
// reply.
func (c *ledgerClient) updateLeader(key, address string, reply *protocol.ProposeReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply != nil && reply.LedgerGroups > 0 && reply.LedgerGroups != len(c.leaders) {
		c.leaders = make([]string, reply.LedgerGroups)
	}
	if len(c.leaders) == 0 {
		return
	}
	leader := ""
	switch {
	case reply == nil:
	case reply.Status == protocol.ProposeApplied:
		leader = address
	case reply.Status == protocol.ProposeNotLeader:
		leader = reply.Leader
	}
	c.leaders[protocol.LedgerIndex(key, len(c.leaders))] = leader
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
