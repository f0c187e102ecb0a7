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

// Backend is what a control member provides to the API. Requests that change something carry a RequestID; a backend
// gives a request that arrives again the result of the first one. Errors are those of this package: an error that is
// none of them is answered as an internal fault.
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
}

// NewHandler returns the API over a backend. It checks the form of requests; the backend decides about their content.
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
		answer, err := b.History(r.Context(), request)
		write(w, answer, err)
	})
	return mux
}

func get[A any](call func(context.Context) (A, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, err := call(r.Context())
		write(w, answer, err)
	})
}

func post[R, A any](limit int64, call func(context.Context, R) (A, error), check func(R) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request R
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
		answer, err := call(r.Context(), request)
		write(w, answer, err)
	})
}

func write(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func writeError(w http.ResponseWriter, err error) {
	form := wireErrorOf(err)
	body := errorBody{Code: form.code, Message: err.Error()}
	var detailed *Error
	if errors.As(err, &detailed) {
		body.Message = detailed.Message
		body.Leader = detailed.Leader
		body.Winner = detailed.Winner
		body.Problems = detailed.Problems
	}
	writeJSON(w, form.status, body)
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
	// A client that went away gets no answer; it resends the request.
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

// require returns an error that names the first empty field. Fields are pairs of name and value.
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

func checkClearQuarantine(r ClearQuarantineRequest) error {
	return require(r.RequestID, "operator", r.Operator)
}
