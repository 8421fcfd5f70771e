package controller

import "context"

// localLog applies commands at once and keeps them in memory only.
type localLog struct {
	state StateMachine
}

// OpenLocalLog returns a log of one replica that keeps nothing on disk, for
// demonstrations and tests.
func OpenLocalLog(s StateMachine) (Log, error) {
	return &localLog{state: s}, nil
}

// Propose implements Log.
func (l *localLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	return l.state.Apply(command), nil
}

// ReadIndex implements Log.
func (l *localLog) ReadIndex(context.Context) error {
	return nil
}

// Serve implements Log.
func (l *localLog) Serve(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Describe implements Log.
func (l *localLog) Describe() any {
	return struct {
		Durable bool `json:"durable"`
	}{}
}
