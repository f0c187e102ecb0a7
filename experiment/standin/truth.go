package standin

import (
	"slices"
	"sync"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Run is one execution of a request on an upstream. It begins when the request takes a slot.
type Run struct {
	// Request is the identifier that all attempts of a call share; Attempt is the identifier of one attempt.
	Request  string
	Attempt  string
	Class    bundle.Class
	Upstream string
	Node     string
	Receipt  string
	Start    time.Time
	End      time.Time
	// Finished reports that the work was completed, whether or not the answer reached anyone.
	Finished bool
	// Crashed reports that the upstream crashed during the run.
	Crashed bool
}

// LateRequest is a request that reached an upstream after it announced that it is leaving.
type LateRequest struct {
	Upstream string
	Attempt  string
	After    time.Duration
}

// Recorder is the ground truth of all upstreams of one experiment. It is safe for concurrent use.
type Recorder struct {
	mu          sync.Mutex
	runs        []Run
	late        []LateRequest
	wrongNested []string
}

// begin records the start of a run and returns its index.
func (t *Recorder) begin(run Run) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, run)
	return len(t.runs) - 1
}

func (t *Recorder) end(index int, finished, crashed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := &t.runs[index]
	run.End = time.Now()
	run.Finished = finished
	run.Crashed = crashed
}

func (t *Recorder) addLate(work LateRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late = append(t.late, work)
}

func (t *Recorder) addWrongNested(request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrongNested = append(t.wrongNested, request)
}

// Runs returns a copy of all runs. A run that has not ended has a zero End.
func (t *Recorder) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.runs)
}

// LateRequests returns the requests that arrived after an upstream announced that it is leaving.
func (t *Recorder) LateRequests() []LateRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.late)
}

// WrongNestedResponses returns the nested calls whose answer was complete but belonged to another request or was altered.
func (t *Recorder) WrongNestedResponses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.wrongNested)
}
