// Package worker carries out tasks in goroutines that are used again, as the stack of
// a new goroutine has to grow several times in a call.
package worker

import "time"

// idleTimeout is how long a goroutine waits for another task.
const idleTimeout = time.Second

// Pool holds the goroutines that wait for a task.
type Pool struct {
	tasks chan func()
}

// NewPool returns a pool without goroutines.
func NewPool() Pool {
	return Pool{tasks: make(chan func())}
}

// Do carries out a task in another goroutine. It does not wait.
func (p Pool) Do(task func()) {
	select {
	case p.tasks <- task:
	default:
		go p.run(task)
	}
}

// run carries out a task and then others until there is none for idleTimeout.
func (p Pool) run(task func()) {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for {
		task()
		timer.Reset(idleTimeout)
		select {
		case task = <-p.tasks:
		case <-timer.C:
			return
		}
	}
}
