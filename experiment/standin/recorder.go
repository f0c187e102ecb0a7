package standin

import (
	"slices"
	"sync"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Run is one execution of a request on an upstream. It begins when the request takes a slot.
type Run struct {
	// Request identifies the call and is the same in all its attempts; Attempt identifies one attempt.
	Request  string
	Attempt  string
	Class    bundle.Class
	Upstream string
	// Node is the node beside the upstream.
	Node string
	// Receipt is the unique identifier of the run, which the response repeats.
	Receipt string
	Start   time.Time
	End     time.Time
	// Finished reports that the work was completed, whether or not the response reached the caller.
	Finished bool
	// Crashed reports that the upstream crashed during the run.
	Crashed bool
}

// LateRequest is a request that reached an upstream after the node had acknowledged that the upstream is leaving.
type LateRequest struct {
	Upstream string
	Attempt  string
	// After is the time between the acknowledgement and the arrival.
	After time.Duration
}

// Recorder records what the upstreams of one experiment really did. Checks compare it with what callers were told. It
// is safe for concurrent use.
type Recorder struct {
	mu           sync.Mutex
	runs         []Run
	lateRequests []LateRequest
	wrongNested  []string
}

// beginRun records the start of a run and returns its index, which endRun takes.
func (r *Recorder) beginRun(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	return len(r.runs) - 1
}

func (r *Recorder) endRun(index int, finished, crashed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &r.runs[index]
	run.End = time.Now()
	run.Finished = finished
	run.Crashed = crashed
}

func (r *Recorder) addLateRequest(work LateRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateRequests = append(r.lateRequests, work)
}

func (r *Recorder) addWrongNestedResponse(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrongNested = append(r.wrongNested, request)
}

// Runs returns a copy of all runs. A run that has not ended has a zero End.
func (r *Recorder) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

// LateRequests returns a copy of all late requests.
func (r *Recorder) LateRequests() []LateRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lateRequests)
}

// WrongNestedResponses returns the request identifiers of nested calls that failed CheckResponse: their response was
// altered or belonged to another request.
func (r *Recorder) WrongNestedResponses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.wrongNested)
}
