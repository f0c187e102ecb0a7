package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// errLedger means that the ledger gave no answer: the command may or may not be committed.
var errLedger = errors.New("node: ledger gave no answer")

const (
	// ledgerAttemptTimeout bounds one proposal, so that a leader that was cut off is given up for another member.
	ledgerAttemptTimeout = time.Second
	ledgerRetryDelay     = 20 * time.Millisecond
)

// ledgerClient sends commands to the leader of the control members. Commands are idempotent, so a lost answer is
// asked for again by sending the command again. It is safe for concurrent use.
type ledgerClient struct {
	pool *rpc.Pool
	// members returns the known addresses of control members.
	members func() []string
	leader  atomic.Pointer[string]
}

// do commits a command and returns its result. It tries until the context ends.
func (c *ledgerClient) do(ctx context.Context, key string, command ledger.Command) (ledger.Result, error) {
	data, err := protocol.Marshal(command)
	if err != nil {
		return ledger.Result{}, err
	}
	request := &protocol.ProposeRequest{Target: protocol.TargetLedger, Key: key, Command: data}
	for turn := 0; ; turn++ {
		address := c.choose(turn)
		if address == "" {
			return ledger.Result{}, errors.Wrap(errLedger, "no control member is known")
		}
		reply, err := c.attempt(ctx, address, request)
		if err == nil && reply.Status == protocol.ProposeApplied {
			c.leader.Store(&address)
			var result ledger.Result
			if err := protocol.Unmarshal(reply.Result, &result); err != nil {
				return ledger.Result{}, err
			}
			return result, nil
		}
		c.learn(reply)
		if ctx.Err() != nil {
			return ledger.Result{}, errors.Wrapf(errLedger, "%v", ctx.Err())
		}
		if turn > 0 {
			sleep(ctx, ledgerRetryDelay)
		}
	}
}

func (c *ledgerClient) attempt(
	ctx context.Context, address string, request *protocol.ProposeRequest,
) (*protocol.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerAttemptTimeout)
	defer cancel()
	return c.pool.Propose(ctx, address, request)
}

// choose returns the leader if it is known, otherwise the members in turn.
func (c *ledgerClient) choose(turn int) string {
	if leader := c.leader.Load(); leader != nil {
		return *leader
	}
	members := c.members()
	if len(members) == 0 {
		return ""
	}
	return members[turn%len(members)]
}

// learn keeps the leader that a member named, and forgets one that gave no useful answer.
func (c *ledgerClient) learn(reply *protocol.ProposeReply) {
	if reply != nil && reply.Status == protocol.ProposeNotLeader && reply.Leader != "" {
		c.leader.Store(&reply.Leader)
		return
	}
	c.leader.Store(nil)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
