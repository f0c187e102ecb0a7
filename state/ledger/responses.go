package ledger

// storedResponse is an answer and its place in the order of expiry.
type storedResponse struct {
	key       keyHash
	expiresMs int64
	size      int
	response  *Response
}

// responses holds the responses in the order in which they were recorded, which is the order in which they expire.
type responses struct {
	byKey      map[keyHash]*Response
	queue      []storedResponse
	totalBytes int // bytes
}

func newResponses() responses { return responses{byKey: make(map[keyHash]*Response)} }

func (r *responses) get(key keyHash) (*Response, bool) {
	response, ok := r.byKey[key]
	return response, ok
}

func (r *responses) add(key keyHash, response Response, expiresMs int64) {
	r.byKey[key] = &response
	r.queue = append(r.queue, storedResponse{key: key, expiresMs: expiresMs, size: response.Size(), response: &response})
	r.totalBytes += response.Size()
}

// expire drops answers that are too old, and the oldest ones while all together are too large.
func (r *responses) expire(nowMs int64, maxTotalBytes int) {
	for len(r.queue) > 0 && (r.queue[0].expiresMs <= nowMs || r.totalBytes > maxTotalBytes) {
		first := r.queue[0]
		r.queue[0] = storedResponse{} // lets the answer be collected before the queue's array is replaced
		r.queue = r.queue[1:]
		r.totalBytes -= first.size
		if r.byKey[first.key] == first.response {
			delete(r.byKey, first.key)
		}
	}
}

// Size returns the bytes that an answer takes, without the overhead of its containers.
func (r Response) Size() int {
	size := len(r.Body)
	for name, values := range r.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
