package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Backend is the implementation of the API by a control member. Requests that change state have a RequestID; if a
// request arrives again, the backend returns the result of the first one. The errors are those of this package; any
// other error is sent to the client as ErrInternal.
type Backend interface {
	Stage(ctx context.Context, r StageRequest) (Decision, error)
	Approve(ctx context.Context, r ApproveRequest) (Decision, error)
	Stop(ctx context.Context, r StopRequest) (Decision, error)
	Replace(ctx context.Context, r ReplaceRequest) (Decision, error)
	Status(ctx context.Context) (Status, error)
	History(ctx context.Context, r HistoryRequest) (HistoryResponse, error)
	Members(ctx context.Context) (MembersResponse, error)
	AddMember(ctx context.Context, r AddMemberRequest) (MembersResponse, error)
	RemoveMember(ctx context.Context, r RemoveMemberRequest) (MembersResponse, error)
	ReplaceMember(ctx context.Context, r ReplaceMemberRequest) (MembersResponse, error)
	Quarantine(ctx context.Context) (QuarantineResponse, error)
	ClearQuarantine(ctx context.Context, r ClearQuarantineRequest) (ClearQuarantineResponse, error)
	Dump(ctx context.Context) (DumpResponse, error)
	StartRollout(ctx context.Context, r StartRolloutRequest) (Decision, error)
	CancelRollout(ctx context.Context, r CancelRolloutRequest) (Decision, error)
	Rollouts(ctx context.Context) (RolloutsResponse, error)
}

// NewHandler returns the HTTP handler of the API. It checks that requests are well-formed, and passes them to the
// backend.
func NewHandler(b Backend) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+PathStage, post(maxRequestBytes, b.Stage, checkStage))
	mux.Handle("POST "+PathApprove, post(maxSmallRequestBytes, b.Approve, checkApprove))
	mux.Handle("POST "+PathReplace, post(maxSmallRequestBytes, b.Replace, checkReplace))
	mux.Handle("POST "+PathStop, post(maxSmallRequestBytes, b.Stop, checkStop))
	mux.Handle("POST "+PathMemberAdd, post(maxSmallRequestBytes, b.AddMember, checkAddMember))
	mux.Handle("POST "+PathMemberRemove, post(maxSmallRequestBytes, b.RemoveMember, checkRemoveMember))
	mux.Handle("POST "+PathMemberReplace, post(maxSmallRequestBytes, b.ReplaceMember, checkReplaceMember))
	mux.Handle("POST "+PathQuarantineClear, post(maxSmallRequestBytes, b.ClearQuarantine, checkClearQuarantine))
	mux.Handle("POST "+PathRolloutStart, post(maxSmallRequestBytes, b.StartRollout, checkStartRollout))
	mux.Handle("POST "+PathRolloutCancel, post(maxSmallRequestBytes, b.CancelRollout, checkCancelRollout))
	mux.Handle("GET "+PathRollouts, get(b.Rollouts))
	mux.Handle("GET "+PathStatus, get(b.Status))
	mux.Handle("GET "+PathMembers, get(b.Members))
	mux.Handle("GET "+PathQuarantine, get(b.Quarantine))
	mux.Handle("GET "+PathDump, get(b.Dump))
	mux.HandleFunc("GET "+PathHistory, func(w http.ResponseWriter, r *http.Request) {
		request, err := historyRequest(r)
		if err != nil {
			writeError(w, err)
			return
		}
		response, err := b.History(r.Context(), request)
		write(w, response, err)
	})
	return mux
}

// get returns a handler for requests without parameters.
func get[R any](call func(context.Context) (R, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, err := call(r.Context())
		write(w, response, err)
	})
}

// post returns a handler for requests with a JSON body of at most limit bytes.
func post[Q, R any](limit int64, call func(context.Context, Q) (R, error), check func(Q) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request Q
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&request); err != nil {
			writeError(w, badRequest("body: %v", err))
			return
		}
		if err := check(request); err != nil {
			writeError(w, err)
			return
		}
		response, err := call(r.Context(), request)
		write(w, response, err)
	})
}

func write(w http.ResponseWriter, response any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

func writeError(w http.ResponseWriter, err error) {
	wire := wireErrorOf(err)
	body := errorBody{Code: wire.code, Message: err.Error()}
	var detailed *Error
	if errors.As(err, &detailed) {
		body.Message = detailed.Message
		body.Leader = detailed.Leader
		body.Winner = detailed.Winner
		body.Problems = detailed.Problems
	}
	writeJSON(w, wire.status, body)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"code":"internal","message":"the answer cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// If the write fails, the client sends the request again.
	_, _ = w.Write(data)
}

func historyRequest(r *http.Request) (HistoryRequest, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return HistoryRequest{Limit: DefaultHistoryLimit}, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > MaxHistoryLimit {
		return HistoryRequest{}, badRequest("limit %q: allowed: 1 to %d", text, MaxHistoryLimit)
	}
	return HistoryRequest{Limit: limit}, nil
}

func badRequest(format string, args ...any) error {
	return &Error{Kind: ErrBadRequest, Message: fmt.Sprintf(format, args...)}
}

// require checks the length of the request ID, and that no field is empty. fields are pairs of a name and a value.
func require(requestID string, fields ...string) error {
	if requestID == "" || len(requestID) > maxRequestIDLength {
		return badRequest("request_id: allowed: 1 to %d characters", maxRequestIDLength)
	}
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i+1] == "" {
			return badRequest("%s: allowed: a value that is not empty", fields[i])
		}
	}
	return nil
}

func checkStage(r StageRequest) error {
	if r.Version == 0 || r.Digest.IsZero() || len(r.Update) == 0 {
		return badRequest("version, digest and update must be set")
	}
	return require(r.RequestID, "operator", r.Operator)
}

func checkApproval(requestID string, a bundle.Approval) error {
	if a.Version == 0 || a.Digest.IsZero() || len(a.Signature) == 0 {
		return badRequest("version, digest and signature must be set")
	}
	return require(requestID, "operator", a.Operator)
}

func checkApprove(r ApproveRequest) error {
	if r.Approval.Replaces != 0 {
		return badRequest("replaces: allowed: only in requests to %s", PathReplace)
	}
	return checkApproval(r.RequestID, r.Approval)
}

func checkReplace(r ReplaceRequest) error {
	if r.Approval.Replaces == 0 {
		return badRequest("replaces: allowed: a version")
	}
	return checkApproval(r.RequestID, r.Approval)
}

func checkStop(r StopRequest) error {
	if r.Stop.Version == 0 || len(r.Stop.Signature) == 0 {
		return badRequest("version and signature must be set")
	}
	return require(r.RequestID, "operator", r.Stop.Operator)
}

func checkAddMember(r AddMemberRequest) error {
	return require(r.RequestID, "id", r.ID, "address", r.Address, "zone", r.Zone)
}

func checkRemoveMember(r RemoveMemberRequest) error { return require(r.RequestID, "id", r.ID) }

func checkReplaceMember(r ReplaceMemberRequest) error {
	return require(r.RequestID, "old", r.Old, "new", r.New, "address", r.Address, "zone", r.Zone)
}

func checkStartRollout(r StartRolloutRequest) error {
	if r.DurationMs <= 0 {
		return badRequest("duration_ms: allowed: a positive number")
	}
	return require(r.RequestID, "operator", r.Operator, "service", r.Service, "release", r.Release)
}

func checkCancelRollout(r CancelRolloutRequest) error {
	return require(r.RequestID, "operator", r.Operator, "service", r.Service, "release", r.Release)
}

func checkClearQuarantine(r ClearQuarantineRequest) error {
	return require(r.RequestID, "operator", r.Operator)
}
