package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Queue writes log lines in a separate goroutine, so that a slow or blocked log
// output does not block the process. Lines written while the queue is full are
// dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	// closed tells the goroutine to write the queued lines and return.
	closed chan struct{}
	// done is closed when the goroutine returns.
	done      chan struct{}
	closeOnce sync.Once
}

const (
	// queueCapacity is the maximum number of queued lines.
	queueCapacity = 1024
	// closeTimeout bounds the time that Close waits for queued lines.
	closeTimeout = 200 * time.Millisecond
)

// NewQueue returns a queue that writes to w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{
		lines:  make(chan []byte, queueCapacity),
		closed: make(chan struct{}),
		done:   make(chan struct{}),
	}
	go q.run(w)
	return q
}

func (q *Queue) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(w, line)
		case <-q.closed:
			q.writeQueued(w)
			return
		}
	}
}

// writeQueued writes the lines that are left in the queue.
func (q *Queue) writeQueued(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(w, line)
		default:
			return
		}
	}
}

func (q *Queue) writeLine(w io.Writer, line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"WARN\",\"msg\":\"logger: lines were dropped\",\"lines\":%d}\n", n)
	}
	// A failure to write the logs cannot be logged.
	_, _ = w.Write(line)
}

// Write implements io.Writer. It never blocks; if the queue is full, it drops the
// line and still returns len(p).
func (q *Queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines not yet reported in the log.
func (q *Queue) Dropped() int64 {
	return q.dropped.Load()
}

// Close waits until the queued lines are written, or for closeTimeout. Lines
// written after Close, for example by a process that is forced to exit, are lost.
func (q *Queue) Close() {
	q.closeOnce.Do(func() { close(q.closed) })
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}
