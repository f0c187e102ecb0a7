package operator

import (
	"context"
	"net/http"
)

// Backend is what a control member provides to the API. Requests that change something carry a RequestID; a backend
// gives a request that arrives again the result of the first one. Errors are those of this package: an error that is
// none of them is answered as an internal fault.
type Backend interface {
	Stage(ctx context.Context, r StageRequest) (Decision, error)
	Approve(ctx context.Context, r ApproveRequest) (Decision, error)
	Stop(ctx context.Context, r StopRequest) (Decision, error)
	Replace(ctx context.Context, r ReplaceRequest) (Decision, error)
	Status(ctx context.Context) (Status, error)
	History(ctx context.Context, r HistoryRequest) (HistoryAnswer, error)
	Members(ctx context.Context) (MembersAnswer, error)
	AddMember(ctx context.Context, r AddMemberRequest) (MembersAnswer, error)
	RemoveMember(ctx context.Context, r RemoveMemberRequest) (MembersAnswer, error)
	ReplaceMember(ctx context.Context, r ReplaceMemberRequest) (MembersAnswer, error)
	Quarantine(ctx context.Context) (QuarantineAnswer, error)
	ClearQuarantine(ctx context.Context, r ClearQuarantineRequest) (ClearQuarantineAnswer, error)
	Dump(ctx context.Context) (DumpAnswer, error)
}

// NewHandler returns the API over a backend.
func NewHandler(b Backend) http.Handler { return http.NotFoundHandler() }
