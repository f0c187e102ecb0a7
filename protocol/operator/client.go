package operator

import (
	"context"
	"math/rand"
	"net/http"
	"time"
)

// ClientConfig configures a client.
type ClientConfig struct {
	// Addresses are host:port pairs of operator APIs. They are tried in turn.
	Addresses []string
	// Scheme is "https" by default; "http" for members with insecure settings.
	Scheme string
	// HTTP sends the requests; nil takes a client with default settings.
	HTTP *http.Client
	// AttemptTimeout bounds one request; 0 takes DefaultAttemptTimeout.
	AttemptTimeout time.Duration
	// Rand jitters the waits between attempts; nil takes a random seed.
	Rand *rand.Rand
}

// Client sends requests to the control members. It is safe for concurrent use.
type Client struct {
	config ClientConfig
}

var _ Backend = (*Client)(nil)

// NewClient returns a client.
func NewClient(c ClientConfig) (*Client, error) { return &Client{config: c}, nil }

// NewRequestID returns a random request identifier.
func NewRequestID() string { return "" }

// Stage implements Backend.
func (c *Client) Stage(ctx context.Context, r StageRequest) (Decision, error) {
	return Decision{}, ErrUnreachable
}

// Approve implements Backend.
func (c *Client) Approve(ctx context.Context, r ApproveRequest) (Decision, error) {
	return Decision{}, ErrUnreachable
}

// Stop implements Backend.
func (c *Client) Stop(ctx context.Context, r StopRequest) (Decision, error) {
	return Decision{}, ErrUnreachable
}

// Replace implements Backend.
func (c *Client) Replace(ctx context.Context, r ReplaceRequest) (Decision, error) {
	return Decision{}, ErrUnreachable
}

// Status implements Backend.
func (c *Client) Status(ctx context.Context) (Status, error) { return Status{}, ErrUnreachable }

// History implements Backend.
func (c *Client) History(ctx context.Context, r HistoryRequest) (HistoryAnswer, error) {
	return HistoryAnswer{}, ErrUnreachable
}

// Members implements Backend.
func (c *Client) Members(ctx context.Context) (MembersAnswer, error) {
	return MembersAnswer{}, ErrUnreachable
}

// AddMember implements Backend.
func (c *Client) AddMember(ctx context.Context, r AddMemberRequest) (MembersAnswer, error) {
	return MembersAnswer{}, ErrUnreachable
}

// RemoveMember implements Backend.
func (c *Client) RemoveMember(ctx context.Context, r RemoveMemberRequest) (MembersAnswer, error) {
	return MembersAnswer{}, ErrUnreachable
}

// ReplaceMember implements Backend.
func (c *Client) ReplaceMember(ctx context.Context, r ReplaceMemberRequest) (MembersAnswer, error) {
	return MembersAnswer{}, ErrUnreachable
}

// Quarantine implements Backend.
func (c *Client) Quarantine(ctx context.Context) (QuarantineAnswer, error) {
	return QuarantineAnswer{}, ErrUnreachable
}

// ClearQuarantine implements Backend.
func (c *Client) ClearQuarantine(ctx context.Context, r ClearQuarantineRequest) (ClearQuarantineAnswer, error) {
	return ClearQuarantineAnswer{}, ErrUnreachable
}

// Dump implements Backend.
func (c *Client) Dump(ctx context.Context) (DumpAnswer, error) { return DumpAnswer{}, ErrUnreachable }
