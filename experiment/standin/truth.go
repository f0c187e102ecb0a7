package standin

// Truth is the ground truth of all upstreams of one experiment.
type Truth struct{}
