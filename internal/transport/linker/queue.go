package linker

import (
	"sync"
	"time"
)

const (
	// queueMessages and queueBytes bound what waits on one link. The bytes keep
	// a full queue of large payloads from using up the memory of an entry.
	queueMessages = 16384
	queueBytes    = 64 << 20
	// batchBytes is the size beyond which no further frames are coalesced into
	// one write.
	batchBytes = 64 << 10
)

// outgoing is one encoded message that waits for the writer.
type outgoing struct {
	data  []byte
	meter *meter
	// due is the time, since the start of the link, before which it is held back.
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
	// ready holds a token when messages were added.
	ready chan struct{}

	mu     sync.Mutex
	items  []outgoing
	head   int
	bytes  int
	last   time.Duration
	closed bool
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// push appends a message. It is due no earlier than those before it.
func (q *queue) push(item outgoing) pushResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return pushClosed
	}
	waiting := len(q.items) - q.head
	if waiting >= queueMessages || (waiting > 0 && q.bytes+len(item.data) > queueBytes) {
		return pushFull
	}
	item.due = max(item.due, q.last)
	q.last = item.due
	q.items = append(q.items, item)
	q.bytes += len(item.data)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return pushed
}

// take appends the frames of the messages that are due to buf, up to a batch.
// If none is due, wait is the time until the next one is; zero means that the
// queue is empty.
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

// compact frees the space of messages that were taken, at a cost that is
// constant per message.
func (q *queue) compact() {
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
		return
	}
	if q.head >= queueMessages/4 && 2*q.head >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
}

// close refuses further messages.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
}
