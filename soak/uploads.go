package soak

import (
	"context"
	"strings"
	"time"
)

const (
	// uploadBytes exceeds one frame between nodes, and largeUploadBytes what a node holds of a body (1 MiB): it streams these.
	uploadBytes      = 100 << 10
	largeUploadBytes = 3 << 19
	// One upload in largeUploadShare is large; suffixLarge ends its attempt. One in slowUploadShare pauses halfway.
	largeUploadShare = 8
	suffixLarge      = "-large"
	slowUploadShare  = 4
	maxUploadPause   = 500 * time.Millisecond
)

func isUpload(attempt string) bool { return strings.HasPrefix(attempt, "u") }

// requestBody returns the body of an attempt's request.
func requestBody(attempt string) string {
	switch {
	case !isUpload(attempt):
		return attempt
	case strings.HasSuffix(attempt, suffixLarge):
		return strings.Repeat("x", largeUploadBytes)
	default:
		return strings.Repeat("x", uploadBytes)
	}
}

// write sends a request. Some uploads pause halfway, so that a stop of the node falls between.
func (c *caller) write(ctx context.Context, connection *callerConnection, encoded []byte, attempt string) error {
	if isUpload(attempt) && c.rng.IntN(slowUploadShare) == 0 {
		half := len(encoded) / 2
		if _, err := connection.Write(encoded[:half]); err != nil {
			return err
		}
		sleep(ctx, time.Duration(c.rng.Int64N(int64(maxUploadPause))))
		encoded = encoded[half:]
	}
	_, err := connection.Write(encoded)
	return err
}

// checkUpload checks that an upstream gets the body of an upload whole, or an error.
func (r *recorder) checkUpload(attempt string, received int64, err error) {
	if want := int64(len(requestBody(attempt))); err == nil && received != want && isUpload(attempt) {
		r.reportViolation("upload %s reached its upstream with %d of %d bytes and no error", attempt, received, want)
	}
}
