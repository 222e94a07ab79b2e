package limiter

// backlog is a heap of the tasks of one team, ordered by arrival of the job, then
// longest declared run time, then task index. If the longest task of a job started
// last, it would delay the whole job.
type backlog []*queuedTask

func earlier(a, b *queuedTask) bool {
	if a.Arrival != b.Arrival {
		return a.Arrival < b.Arrival
	}
	if a.Declared != b.Declared {
		return a.Declared > b.Declared
	}
	if a.Task.Index != b.Task.Index {
		return a.Task.Index < b.Task.Index
	}
	return a.Task.Submission.ID < b.Task.Submission.ID
}

func (h backlog) Len() int           { return len(h) }
func (h backlog) Less(i, j int) bool { return earlier(h[i], h[j]) }
func (h backlog) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].backlogIndex, h[j].backlogIndex = i, j
}

// Push implements heap.Interface.
func (h *backlog) Push(v any) {
	e := v.(*queuedTask)
	e.backlogIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *backlog) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// promotions is a heap of the tasks of one level, ordered by the time at which they move
// to the next level.
type promotions []*queuedTask

func (h promotions) Len() int { return len(h) }
func (h promotions) Less(i, j int) bool {
	a, b := h[i].promotionTime(), h[j].promotionTime()
	if a != b {
		return a < b
	}
	return earlier(h[i], h[j])
}
func (h promotions) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].promotionIndex, h[j].promotionIndex = i, j
}

// Push implements heap.Interface.
func (h *promotions) Push(v any) {
	e := v.(*queuedTask)
	e.promotionIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *promotions) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// promotionTime returns the time, in Unix nanoseconds, at which the task moves to the
// next level. Tasks of one level may have different original priorities, so the order
// of these times is not that of the waits.
func (e *queuedTask) promotionTime() int64 {
	steps := e.level + 1 - clamp(e.Priority)
	return e.Enqueued.UnixNano() + int64(steps)*int64(ageingInterval)
}
