package experiment

import (
	"sync"

	"sapphiregate.example/sapphiregate/invariant"
)

// messagesPerInvariant bounds the details that are kept, because one fault can cause thousands of violations.
const messagesPerInvariant = 5

// violationLog counts violations and keeps some details. It is safe for concurrent use.
type violationLog struct {
	mu       sync.Mutex
	counts   map[invariant.Name]int64
	messages map[invariant.Name][]string
}

func newViolationLog() *violationLog {
	return &violationLog{counts: make(map[invariant.Name]int64), messages: make(map[invariant.Name][]string)}
}

func (l *violationLog) add(name invariant.Name, message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
	if len(l.messages[name]) < messagesPerInvariant {
		l.messages[name] = append(l.messages[name], message)
	}
}

// addProcesses adds what the processes themselves counted since before.
func (l *violationLog) addProcesses(before, after map[invariant.Name]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, count := range after {
		if count > before[name] {
			l.counts[name] += count - before[name]
			l.messages[name] = append(l.messages[name], "counted by the processes")
		}
	}
}

func (l *violationLog) total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var total int64
	for _, count := range l.counts {
		total += count
	}
	return total
}

func (l *violationLog) count(name invariant.Name) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[name]
}

// details returns the kept messages, each with its invariant.
func (l *violationLog) details() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for _, name := range invariant.Names() {
		for _, message := range l.messages[name] {
			lines = append(lines, string(name)+": "+message)
		}
	}
	return lines
}
