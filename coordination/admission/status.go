package admission

import (
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// ClassStatus describes one class, for metrics and the state dump. Started and Shed count since the queue was made.
type ClassStatus struct {
	Class     bundle.Class
	Waiting   int
	Exclusive int // of those waiting
	Service   time.Duration
	Started   uint64
	Shed      map[Reason]uint64
}

// Status describes a queue.
type Status struct {
	Slots    int
	Running  int
	Draining bool
	// Reserved is set while slots are emptied for a call that must run alone, or while it runs.
	Reserved bool
	Classes  []ClassStatus
}

// Status returns the state of the queue, with the classes in the order in which they are served.
func (q *Queue) Status() Status {
	status := Status{
		Slots:    q.config.Slots,
		Running:  len(q.running),
		Draining: q.draining,
		Reserved: q.reservedFor != nil,
	}
	for i, name := range []bundle.Class{bundle.ClassIrreversible, bundle.ClassLookup, bundle.ClassReport} {
		class := &q.ranks[i]
		shed := make(map[Reason]uint64)
		for reason, count := range class.shed {
			if count > 0 {
				shed[Reason(reason)] = count
			}
		}
		status.Classes = append(status.Classes, ClassStatus{
			Class:     name,
			Waiting:   len(class.byDeadline),
			Exclusive: class.exclusive.Len(),
			Service:   class.serviceTime.mean,
			Started:   class.started,
			Shed:      shed,
		})
	}
	return status
}

// String names the reason in logs and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonDeadline:
		return "deadline"
	case ReasonQueueFull:
		return "queue-full"
	case ReasonDraining:
		return "draining"
	case ReasonTarget:
		return "target"
	default:
		return "none"
	}
}
