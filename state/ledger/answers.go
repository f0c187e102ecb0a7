package ledger

// storedAnswer is an answer and its place in the order of expiry.
type storedAnswer struct {
	key     keyHash
	untilMs int64
	size    int
	answer  *Response
}

// answers holds the answers in the order in which they were recorded, which is the order in which they expire.
type answers struct {
	byKey map[keyHash]*Response
	queue []storedAnswer
	total int // bytes
}

func newAnswers() answers { return answers{byKey: make(map[keyHash]*Response)} }

func (a *answers) get(key keyHash) (*Response, bool) {
	answer, ok := a.byKey[key]
	return answer, ok
}

func (a *answers) add(key keyHash, answer Response, untilMs int64) {
	a.byKey[key] = &answer
	a.queue = append(a.queue, storedAnswer{key: key, untilMs: untilMs, size: answer.Size(), answer: &answer})
	a.total += answer.Size()
}

// expire drops answers that are too old, and the oldest ones while all together are too large.
func (a *answers) expire(nowMs int64, maxTotal int) {
	for len(a.queue) > 0 && (a.queue[0].untilMs <= nowMs || a.total > maxTotal) {
		first := a.queue[0]
		a.queue[0] = storedAnswer{} // lets the answer be collected before the queue's array is replaced
		a.queue = a.queue[1:]
		a.total -= first.size
		if a.byKey[first.key] == first.answer {
			delete(a.byKey, first.key)
		}
	}
}

// Size returns the bytes that an answer takes, without the overhead of its containers.
func (a Response) Size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
