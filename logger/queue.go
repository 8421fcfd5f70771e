package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Queue passes log lines on to a writer in a goroutine of its own, so that a slow
// or stuck reader of the logs holds nobody up. Lines that find it full are
// dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	// closed tells the goroutine to write what waits and end, which done says.
	closed  chan struct{}
	done    chan struct{}
	closing sync.Once
}

const (
	// queueLines bounds the lines that wait.
	queueLines = 1024
	// closePatience bounds the wait for the last lines to be written.
	closePatience = 200 * time.Millisecond
)

// NewQueue returns a queue in front of a writer.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{
		lines:  make(chan []byte, queueLines),
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
			q.pass(w, line)
		case <-q.closed:
			q.passRest(w)
			return
		}
	}
}

// passRest writes the lines that wait.
func (q *Queue) passRest(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.pass(w, line)
		default:
			return
		}
	}
}

func (q *Queue) pass(w io.Writer, line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"WARN\",\"msg\":\"logger: lines were dropped\",\"lines\":%d}\n", n)
	}
	// There is nobody left to tell of a failure to write the logs.
	_, _ = w.Write(line)
}

// Write implements io.Writer; it never blocks and never fails.
func (q *Queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped and not told of yet.
func (q *Queue) Dropped() int64 {
	return q.dropped.Load()
}

// Close writes the last lines, as far as the reader takes them. What is written
// after it, as a process may that leaves in a hurry, is lost.
func (q *Queue) Close() {
	q.closing.Do(func() { close(q.closed) })
	select {
	case <-q.done:
	case <-time.After(closePatience):
	}
}
