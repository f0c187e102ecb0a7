package operator

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"math/big"
	mathrand "math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of ClientConfig and limits of a Client.
const (
	// DefaultAttemptTimeout is long enough for an election, which takes about 1 s.
	DefaultAttemptTimeout = 5 * time.Second
	// dialTimeout is short, so that an instance that is down does not delay the next address for long. Availability
	// zones are some milliseconds apart.
	dialTimeout = time.Second
	// membershipAttemptTimeout is the timeout of one attempt at a membership change, during which a learner catches up.
	membershipAttemptTimeout = 2 * time.Minute
	DefaultRounds            = 4
	DefaultRetryWait         = 200 * time.Millisecond
	// maxLeaderRedirects bounds how often a round follows a response to the leader that it names: members that disagree
	// during an election can name each other.
	maxLeaderRedirects = 3
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addresses are the host:port pairs of the control members' APIs. They are tried in turn.
	Addresses []string
	// TLS secures the connections; nil means plain HTTP, for members with insecure settings.
	TLS *tls.Config
	// HTTP sends the requests; nil takes a client with default settings and TLS.
	HTTP *http.Client
	// AttemptTimeout is the timeout of one attempt; 0 takes DefaultAttemptTimeout.
	AttemptTimeout time.Duration
	// Rounds is the number of times that all addresses are tried; 0 takes DefaultRounds.
	Rounds int
	// RetryWait is the greatest pause after the first round; it doubles after each further round. 0 takes
	// DefaultRetryWait.
	RetryWait time.Duration
	// Rand is the source of the jitter of the pauses; nil takes one with a random seed.
	Rand *mathrand.Rand
}

// Client sends requests to the control members. It is safe for concurrent use.
//
// A request whose response is lost is sent again with the same RequestID, so that it takes effect only once. If the
// client gives up after the response to a change was lost, it returns ErrOutcomeUnknown.
type Client struct {
	config ClientConfig
	scheme string

	mu sync.Mutex
	// preferred is the address that is tried first: normally the one that sent the last definite response.
	preferred string
	random    *mathrand.Rand
}

var _ Backend = (*Client)(nil)

// NewClient returns a Client. It fails if there is no address or one is not a host:port pair.
func NewClient(c ClientConfig) (*Client, error) {
	if len(c.Addresses) == 0 {
		return nil, errors.New("operator: no address of a control member is given")
	}
	for _, address := range c.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, errors.Newf("operator: address %q: allowed: host:port", address)
		}
	}
	if c.AttemptTimeout == 0 {
		c.AttemptTimeout = DefaultAttemptTimeout
	}
	if c.Rounds == 0 {
		c.Rounds = DefaultRounds
	}
	if c.RetryWait == 0 {
		c.RetryWait = DefaultRetryWait
	}
	client := &Client{config: c, scheme: "http", random: c.Rand}
	if c.TLS != nil {
		client.scheme = "https"
	}
	if client.random == nil {
		client.random = mathrand.New(mathrand.NewSource(randomSeed()))
	}
	if c.HTTP == nil {
		client.config.HTTP = &http.Client{
			Transport: &http.Transport{
				TLSClientConfig:   c.TLS,
				ForceAttemptHTTP2: true,
				DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return client, nil
}

func randomSeed() int64 {
	n, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		// crypto/rand never fails on supported systems.
		panic(err)
	}
	return n.Int64()
}

// requestIDBytes is the length of a request ID, which makes collisions between clients practically impossible.
const requestIDBytes = 16

// NewRequestID returns a random request ID.
func NewRequestID() string {
	id := make([]byte, requestIDBytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// requestIDOrNew returns the request ID, or a new one if it is empty. All attempts use the same ID.
func requestIDOrNew(requestID string) string {
	if requestID == "" {
		return NewRequestID()
	}
	return requestID
}

// Stage implements Backend.
func (c *Client) Stage(ctx context.Context, r StageRequest) (Decision, error) {
	r.RequestID = requestIDOrNew(r.RequestID)
	return sendChange[Decision](ctx, c, PathStage, r, c.config.AttemptTimeout)
}

// Approve implements Backend.
func (c *Client) Approve(ctx context.Context, r ApproveRequest) (Decision, error) {
	r.RequestID = requestIDOrNew(r.RequestID)
	return sendChange[Decision](ctx, c, PathApprove, r, c.config.AttemptTimeout)
}

// Stop implements Backend.
func (c *Client) Stop(ctx context.Context, r StopRequest) (Decision, error) {
	r.RequestID = requestIDOrNew(r.RequestID)
	return sendChange[Decision](ctx, c, PathStop, r, c.config.AttemptTimeout)
}

// Replace implements Backend.
func (c *Client) Replace(ctx context.Context, r ReplaceRequest) (Decision, error) {
	r.RequestID = requestIDOrNew(r.RequestID)
	return sendChange[Decision](ctx, c, PathReplace, r, c.config.AttemptTimeout)
}

// Status implements Backend. A member that a partition cuts off from the quorum returns an old state. Therefore the
// members are asked in turn until one returns a fresh state; if none does, the result is the freshest one.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var best Status
	for i := range c.config.Addresses {
		status, err := sendRead[Status](ctx, c, PathStatus)
		if err != nil && i > 0 {
			return best, nil
		}
		if err != nil || Fresh(status.ConfirmedAgeMs) {
			return status, err
		}
		if i == 0 || fresher(status.ConfirmedAgeMs, best.ConfirmedAgeMs) {
			best = status
		}
		c.preferNext()
	}
	return best, nil
}

// fresher reports whether an age is less than another one. Either may be AgeUnknown.
func fresher(ageMs, other int64) bool {
	return ageMs != AgeUnknown && (other == AgeUnknown || ageMs < other)
}

// History implements Backend.
func (c *Client) History(ctx context.Context, r HistoryRequest) (HistoryResponse, error) {
	limit := r.Limit
	if limit == 0 {
		limit = DefaultHistoryLimit
	}
	return sendRead[HistoryResponse](ctx, c, PathHistory+"?limit="+strconv.Itoa(limit))
}

// Members implements Backend.
func (c *Client) Members(ctx context.Context) (MembersResponse, error) {
	return sendRead[MembersResponse](ctx, c, PathMembers)
}

// AddMember implements Backend.
func (c *Client) AddMember(ctx context.Context, r AddMemberRequest) (MembersResponse, error) {
	r.RequestID = requestIDOrNew(r.RequestID)
	return sendChange[MembersResponse](ctx, c, PathMemberAdd, r, membershipAttemptTimeout)
}

// RemoveMember implements Backend.
func (c *Client) RemoveMember(ctx context.Context, r RemoveMemberRequest) (MembersResponse, error) {
	r.RequestID = requestIDOrNew(r.RequestID)
	return sendChange[MembersResponse](ctx, c, PathMemberRemove, r, membershipAttemptTimeout)
}

// ReplaceMember implements Backend.
func (c *Client) ReplaceMember(ctx context.Context, r ReplaceMemberRequest) (MembersResponse, error) {
	r.RequestID = requestIDOrNew(r.RequestID)
	return sendChange[MembersResponse](ctx, c, PathMemberReplace, r, membershipAttemptTimeout)
}

// Quarantine implements Backend.
func (c *Client) Quarantine(ctx context.Context) (QuarantineResponse, error) {
	return sendRead[QuarantineResponse](ctx, c, PathQuarantine)
}

// ClearQuarantine implements Backend.
func (c *Client) ClearQuarantine(ctx context.Context, r ClearQuarantineRequest) (ClearQuarantineResponse, error) {
	r.RequestID = requestIDOrNew(r.RequestID)
	return sendChange[ClearQuarantineResponse](ctx, c, PathQuarantineClear, r, c.config.AttemptTimeout)
}

// Dump implements Backend.
func (c *Client) Dump(ctx context.Context) (DumpResponse, error) {
	return sendRead[DumpResponse](ctx, c, PathDump)
}

// StartRollout implements Backend.
func (c *Client) StartRollout(ctx context.Context, r StartRolloutRequest) (Decision, error) {
	r.RequestID = requestIDOrNew(r.RequestID)
	return sendChange[Decision](ctx, c, PathRolloutStart, r, c.config.AttemptTimeout)
}

// CancelRollout implements Backend.
func (c *Client) CancelRollout(ctx context.Context, r CancelRolloutRequest) (Decision, error) {
	r.RequestID = requestIDOrNew(r.RequestID)
	return sendChange[Decision](ctx, c, PathRolloutCancel, r, c.config.AttemptTimeout)
}

// Rollouts implements Backend.
func (c *Client) Rollouts(ctx context.Context) (RolloutsResponse, error) {
	return sendRead[RolloutsResponse](ctx, c, PathRollouts)
}
