package linker

import (
	"sync"
	"time"
)

const (
	// maxQueuedMessages and maxQueuedBytes bound the messages that wait on one link.
	// The limit in bytes keeps a queue of large payloads from exhausting the memory of
	// an entry.
	maxQueuedMessages = 16384
	maxQueuedBytes    = 64 << 20
	// batchBytes is the size from which on no further frames are added to one write.
	batchBytes = 64 << 10
)

// outgoing is one encoded message in the queue.
type outgoing struct {
	data  []byte
	meter *meter
	// due is the earliest age of the link at which the message may be sent.
	due time.Duration
}

type pushResult int

const (
	pushed pushResult = iota
	pushClosed
	pushFull
)

// queue holds the outgoing messages of one link in order.
type queue struct {
	// ready holds a token when messages were added since the writer last took it.
	ready chan struct{}

	mu    sync.Mutex
	items []outgoing
	// head is the index of the first item that was not taken yet.
	head int
	// bytes is the size of the messages that wait, without their frame headers.
	bytes int
	// lastDue is the latest due time of all messages so far.
	lastDue time.Duration
	closed  bool
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// push appends a message. If the message is due before an earlier one, its due time
// is raised to keep the order. An empty queue accepts a message of any size.
func (q *queue) push(item outgoing) pushResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return pushClosed
	}
	waiting := len(q.items) - q.head
	if waiting >= maxQueuedMessages || (waiting > 0 && q.bytes+len(item.data) > maxQueuedBytes) {
		return pushFull
	}
	item.due = max(item.due, q.lastDue)
	q.lastDue = item.due
	q.items = append(q.items, item)
	q.bytes += len(item.data)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return pushed
}

// take removes messages that are due from the queue and appends their frames to buf,
// until buf holds at least batchBytes. If no message is due, wait is the time until
// the next one is. A wait of zero without any frames means that the queue is empty.
func (q *queue) take(buf []byte, now time.Duration) (batch []byte, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.head < len(q.items) && len(buf) < batchBytes {
		item := q.items[q.head]
		if item.due > now {
			break
		}
		buf = appendFrame(buf, item.data)
		item.meter.add(len(item.data))
		q.bytes -= len(item.data)
		q.items[q.head] = outgoing{}
		q.head++
	}
	if q.head < len(q.items) {
		wait = max(q.items[q.head].due-now, 0)
	}
	q.compact()
	return buf, wait
}

// compact frees the space of messages that were taken. The amortised cost per
// message is constant.
func (q *queue) compact() {
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
		return
	}
	if q.head >= maxQueuedMessages/4 && 2*q.head >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
}

// close makes the queue reject further messages.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
}
