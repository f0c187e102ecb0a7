package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sapphiregate.example/sapphiregate/coordination/pacing"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

const (
	// downloadChunkBytes is the part of a download that is sent at once: short responses wait behind one part of each
	// download that uses the link.
	downloadChunkBytes = 16 << 10
	// maxBufferedDownloadBytes and maxBufferedDownloads bound the downloads that are read to their end before they are
	// sent, so that a slow link holds no slot of the upstream. Together they take 16 MiB.
	maxBufferedDownloadBytes = 1 << 20
	maxBufferedDownloads     = 16
	// downloadWaitShare is the share of the time until its target, less the service time, within which the link must be able
	// to send a download. Those that share the link end together, and the way to the caller takes time as well.
	downloadWaitShare = 0.5
	// initialDownloadBytes is the expected size of a route's responses before the first one.
	initialDownloadBytes = 64 << 10
	// maxDownloadRoutes bounds the routes with expectations of their own.
	maxDownloadRoutes = 256
	// expectationDivisor is the inverse of the weight of one response in the expectations.
	expectationDivisor = 8
)

// downloads admits and paces the responses to the calls of class download. It is safe for concurrent use.
type downloads struct {
	buffered atomic.Int64

	mu     sync.Mutex
	link   *pacing.Link
	routes map[string]*downloadExpectation
}

// downloadExpectation is what a response of a route is expected to take.
type downloadExpectation struct {
	bytes       int64
	serviceTime time.Duration
}

func newDownloads(linkMegabits float64) *downloads {
	return &downloads{link: pacing.NewLink(linkMegabits), routes: make(map[string]*downloadExpectation)}
}

// download is one admitted response.
type download struct {
	downloads *downloads
	response  *pacing.Response
	route     *downloadExpectation
	// holdsBuffer is set while the response counts as buffered.
	holdsBuffer bool
}

// admit returns nil and true for a call that is no download, and false for a download that the link cannot carry in time.
func (d *downloads) admit(now time.Time, meta *protocol.CallMetadata) (*download, bool) {
	if meta.Class != bundle.ClassDownload {
		return nil, true
	}
	within := meta.Remaining
	if meta.TargetRemaining > 0 {
		within = min(within, meta.TargetRemaining)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	route := d.routes[meta.Route]
	if route == nil {
		route = &downloadExpectation{bytes: initialDownloadBytes}
		if len(d.routes) < maxDownloadRoutes {
			d.routes[meta.Route] = route
		}
	}
	within = time.Duration(downloadWaitShare * float64(within-route.serviceTime))
	response, ok := d.link.Admit(now, route.bytes, within)
	if !ok {
		return nil, false
	}
	return &download{downloads: d, response: response, route: route}, true
}

// bufferLimit returns the number of bytes of the response that are read before it is sent.
func (d *download) bufferLimit() int {
	if d == nil {
		return maxBufferedResponseBytes
	}
	if d.downloads.buffered.Add(1) > maxBufferedDownloads {
		d.downloads.buffered.Add(-1)
		return maxBufferedResponseBytes
	}
	d.holdsBuffer = true
	return maxBufferedDownloadBytes
}

// observe records the size and service time of a response.
func (d *download) observe(bytes int64, serviceTime time.Duration) {
	if d == nil || bytes <= 0 {
		return
	}
	d.downloads.mu.Lock()
	defer d.downloads.mu.Unlock()
	d.route.bytes += (bytes - d.route.bytes) / expectationDivisor
	d.route.serviceTime += (serviceTime - d.route.serviceTime) / expectationDivisor
}

// wait returns when the next part of the response may be sent, or when the context ends.
func (d *download) wait(ctx context.Context, bytes int) {
	d.downloads.mu.Lock()
	wait := d.response.Schedule(time.Now(), bytes)
	d.downloads.mu.Unlock()
	if wait > 0 {
		sleep(ctx, wait)
	}
}

// done ends the use of the link and of the memory.
func (d *download) done() {
	d.downloads.mu.Lock()
	d.response.Done()
	d.downloads.mu.Unlock()
	if d.holdsBuffer {
		d.holdsBuffer = false
		d.downloads.buffered.Add(-1)
	}
}
