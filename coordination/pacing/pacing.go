// Package pacing keeps long bodies from filling the link of an instance. A link sends in order: when downloads fill its
// queue, the short responses of all other calls on the instance wait behind them, and miss their deadlines although their
// upstreams have free slots. Downloads therefore use a share of the link, one chunk after another, and those that the link
// cannot carry in time are refused before they run.
//
// A Link does no I/O and reads no clock. It is not safe for concurrent use.
package pacing

import "time"

// linkShare is the share of the link that long responses may use. The rest is for short responses, requests and the
// traffic between the processes.
const linkShare = 0.8

// bitsPerByte converts the rate of a link.
const bitsPerByte = 8

// Link is the use of one instance's link by long responses. The zero value has no limit.
type Link struct {
	bytesPerSecond float64
	// free is when the chunks that were scheduled will have been sent.
	free time.Time
	// expected is the number of bytes of admitted responses that were not scheduled yet.
	expected int64
}

// NewLink returns a link with a rate in Mbit/s; 0 sets no limit.
func NewLink(megabits float64) *Link {
	return &Link{bytesPerSecond: linkShare * megabits * 1e6 / bitsPerByte}
}

// Response is an admitted long response.
type Response struct {
	link *Link
	// remaining is the number of expected bytes that were not scheduled yet.
	remaining int64
}

// Admit reports whether a response of the expected size can be sent within the given time, after those that were admitted
// before. A response that has the link for itself is admitted in any case: nothing could serve it sooner. The caller must
// call Done on the response.
func (l *Link) Admit(now time.Time, size int64, within time.Duration) (*Response, bool) {
	idle := l.expected == 0 && l.backlog(now) == 0
	if l.bytesPerSecond > 0 && !idle && l.backlog(now)+l.duration(l.expected+size) > within {
		return nil, false
	}
	l.expected += size
	return &Response{link: l, remaining: size}, true
}

// backlog returns the time until the scheduled chunks have been sent.
func (l *Link) backlog(now time.Time) time.Duration { return max(0, l.free.Sub(now)) }

func (l *Link) duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// Schedule returns how long the next chunk of the response must wait before it is sent.
func (r *Response) Schedule(now time.Time, bytes int) time.Duration {
	l := r.link
	counted := min(r.remaining, int64(bytes))
	r.remaining -= counted
	l.expected -= counted
	return l.Schedule(now, bytes)
}

// Schedule returns how long a chunk that belongs to no admitted response, such as a part of a long request, must wait
// before it is sent.
func (l *Link) Schedule(now time.Time, bytes int) time.Duration {
	if l.bytesPerSecond == 0 {
		return 0
	}
	wait := l.backlog(now)
	l.free = now.Add(wait + l.duration(int64(bytes)))
	return wait
}

// Done ends the response, whether it was sent or not. Further calls have no effect.
func (r *Response) Done() {
	r.link.expected -= r.remaining
	r.remaining = 0
}
