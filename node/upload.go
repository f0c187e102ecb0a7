package node

import (
	"context"
	"sync/atomic"
	"time"

	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

const (
	// maxBufferedUploadBytes is the longest body of an upload that is read to its end before it is sent, so that a slow
	// caller holds no slot of an upstream and a refused upload can be sent to another one. Longer bodies are streamed.
	maxBufferedUploadBytes = 1 << 20
	// maxUploadBuffers bounds the bodies of all uploads that this node holds; beyond it they are streamed.
	maxUploadBuffers = 16 << 20
	// uploadChunkBytes is the part of an upload that is sent at once: the small calls that share the link wait behind one
	// part of each upload.
	uploadChunkBytes = 16 << 10
)

// uploadBuffers counts the bytes that this node reserves for the bodies of uploads. It is safe for concurrent use.
type uploadBuffers struct {
	reserved atomic.Int64
}

// reserve takes up to size bytes and returns a function that gives them back; false if too many are taken.
func (u *uploadBuffers) reserve(size int64) (release func(), ok bool) {
	if u.reserved.Add(size) > maxUploadBuffers {
		u.reserved.Add(-size)
		return nil, false
	}
	return func() { u.reserved.Add(-size) }, true
}

// bodyBufferLimit returns how much of the request's body is kept in memory before the call is forwarded, given the limit of
// its length.
func (c *ingressCall) bodyBufferLimit(contentLength, limit int64) int64 {
	usual := min(limit, maxBufferedBytes)
	switch {
	case c.route.Class == bundle.ClassIrreversible && !c.route.Keyless:
		return limit // The claim in the ledger contains the body's digest.
	case c.route.Class != bundle.ClassUpload || contentLength > maxBufferedUploadBytes:
		return usual
	}
	size := min(limit, maxBufferedUploadBytes)
	if contentLength >= 0 {
		size = min(size, contentLength)
	}
	if size <= usual {
		return usual
	}
	release, ok := c.node.uploads.reserve(size)
	if !ok {
		return usual
	}
	c.releaseBody = release
	return size
}

// paceUpload waits until the next part of an upload may use this instance's link; it returns at once for other calls.
func (n *Node) paceUpload(ctx context.Context, meta *protocol.CallMetadata, bytes int) {
	if meta.Class == bundle.ClassUpload {
		n.executor.downloads.waitForLink(ctx, bytes)
	}
}

// waitForLink returns when a part that is sent besides the downloads may use the link, or when the context ends.
func (d *downloads) waitForLink(ctx context.Context, bytes int) {
	d.mu.Lock()
	wait := d.link.Schedule(time.Now(), bytes)
	d.mu.Unlock()
	if wait > 0 {
		sleep(ctx, wait)
	}
}
