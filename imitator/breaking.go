package imitator

import (
	"io"
	"net/http"
)

// brokenAnswers are answers that break the protocol or break off.
var brokenAnswers = []string{
	"",
	"HTTP/1.1 000 Lot\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more",
	"HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nok",
	"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
}

// SetBreaking sets whether the stand-in answers every request at once with bytes that break the
// protocol or break off, and records no run for it.
func (i *Imitator) SetBreaking(breaking bool) {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	i.behavior.breaking = breaking
}

func (b *behavior) isBreaking() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaking
}

// breakAnswer sends one of the broken answers and closes the connection.
func (i *Imitator) breakAnswer(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	i.mu.Lock()
	answer := brokenAnswers[i.random.IntN(len(brokenAnswers))]
	i.mu.Unlock()
	_, _ = io.WriteString(conn, answer)
}
