package admission

import (
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// ClassStatus describes the calls of one class and those whose priority equals that of the class.
type ClassStatus struct {
	Class     bundle.Class
	Waiting   int
	Exclusive int               // waiting calls that are exclusive
	Service   time.Duration     // mean service time
	Started   uint64            // calls that got a slot since New
	Shed      map[Reason]uint64 // calls refused since New
}

// Status describes a Queue.
type Status struct {
	Slots    int
	Running  int
	Draining bool
	// LimitPerSecond bounds the calls that start; 0 if there is no limit.
	LimitPerSecond float64
	// Reserved is set while an exclusive call runs or the slots are kept free for one.
	Reserved bool
	Classes  []ClassStatus
}

// Status returns the state of the queue, with the classes in the order in which they are served.
func (q *Queue) Status() Status {
	status := Status{
		Slots:    q.config.Slots,
		Running:  len(q.running),
		Draining: q.draining,

		LimitPerSecond: q.limit.perSecond,

		Reserved: q.reservedFor != nil,
	}
	for i, name := range []bundle.Class{bundle.ClassIrreversible, bundle.ClassLookup, bundle.ClassReport} {
		queue := &q.ranks[i]
		shed := make(map[Reason]uint64)
		for reason, count := range queue.shed {
			if count > 0 {
				shed[Reason(reason)] = count
			}
		}
		status.Classes = append(status.Classes, ClassStatus{
			Class:     name,
			Waiting:   len(queue.byDeadline),
			Exclusive: queue.exclusive.Len(),
			Service:   queue.serviceTime.mean,
			Started:   queue.started,
			Shed:      shed,
		})
	}
	return status
}

// Occupancy describes the calls of one priority on the upstream.
type Occupancy struct {
	Priority int
	Running  int
	Waiting  int
	// Late counts the waiting calls that can no longer meet their target.
	Late int
}

// Occupancy returns the priorities that hold or wait for a slot, the most urgent first. Calls without a priority of their
// own count with that of their class.
func (q *Queue) Occupancy(now time.Time) []Occupancy {
	var ranks [rankCount]Occupancy
	for _, c := range q.running {
		ranks[c.rank].Running++
	}
	for _, c := range q.waiting {
		ranks[c.rank].Waiting++
		if !c.inTime(now, q.expectedService) {
			ranks[c.rank].Late++
		}
	}
	var result []Occupancy
	for rank, occupancy := range ranks {
		if occupancy.Running+occupancy.Waiting > 0 {
			occupancy.Priority = rank + 1
			result = append(result, occupancy)
		}
	}
	return result
}

// String returns the name of the reason.
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
	case ReasonShare:
		return "share"
	default:
		return "none"
	}
}
