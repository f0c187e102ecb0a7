package ledger

// storedResponse is a response in the queue of expiry.
type storedResponse struct {
	key       keyHash
	expiresMs int64
	size      int // bytes
	response  *Response
}

// responses holds the responses of calls. The queue is in the order in which they were recorded, which is also the
// order in which they expire.
type responses struct {
	byKey      map[keyHash]*Response
	queue      []storedResponse
	totalBytes int
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

// expire drops the responses that have expired, and further ones, oldest first, while the total exceeds maxTotalBytes.
func (r *responses) expire(nowMs int64, maxTotalBytes int) {
	for len(r.queue) > 0 && (r.queue[0].expiresMs <= nowMs || r.totalBytes > maxTotalBytes) {
		first := r.queue[0]
		r.queue[0] = storedResponse{} // lets the response be garbage collected before append replaces the array
		r.queue = r.queue[1:]
		r.totalBytes -= first.size
		if r.byKey[first.key] == first.response {
			delete(r.byKey, first.key)
		}
	}
}

// Size returns the size of the header and body in bytes, without the overhead of maps and slices.
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
