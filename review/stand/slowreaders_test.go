//go:build review

package stand

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["slow-readers"] = playSlowReaders }

// playSlowReaders lets many clients of two machines read their answers slowly.
func playSlowReaders(record *recorder, trouble bool) (bool, error) {
	const (
		size    = replySize
		readers = 190
		// waves is how often the clients come; the node of a machine ends once in most of them.
		waves = 5
	)
	text := strings.Repeat("x", size)
	work := func(_ *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, text)
	}
	in, err := install(record, []string{"alpha", "alpha", "alpha", "alpha", "beta", "beta"}, work)
	if err != nil {
		return false, err
	}
	defer in.end()
	stop := make(chan struct{})
	over := make([]int, 2)
	var watch sync.WaitGroup
	for i := range over {
		m := in.side[4+i]
		watch.Go(func() {
			peak := 0
			for {
				select {
				case <-stop:
					record.printf("check: the largest memory of %s was %d MB of %d", m.name, peak, m.memoryMB)
					return
				case <-time.After(20 * time.Millisecond):
				}
				mb := m.memory()
				peak = max(peak, mb)
				if mb > m.memoryMB {
					over[i]++
					record.printf("platform: %s uses %d MB of %d and is killed", m.name, mb, m.memoryMB)
					m.kill()
					time.Sleep(500 * time.Millisecond)
					if err := m.start(); err != nil {
						return
					}
				}
			}
		})
	}
	for range waves {
		var wg sync.WaitGroup
		for i := range over {
			for n := range readers {
				wg.Go(func() {
					time.Sleep(time.Duration(n) * 20 * time.Millisecond)
					in.side[4+i].slowRead("/read/1", trouble)
				})
			}
		}
		wg.Wait()
		time.Sleep(4 * time.Second)
	}
	close(stop)
	watch.Wait()
	record.printf("check: processes ended for memory: %v", over)
	return over[0] >= 3 && over[1] >= 3, nil
}

// The requests that a slow reader sends one behind another, and the length of each answer.
const (
	pipelined = 8
	replySize = 250_000
)

// slowRead asks for long answers over one connection and reads them slowly.
func (m *machine) slowRead(target string, slow bool) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			if slow {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
			}
		})
	}}
	conn, err := dialer.Dial("tcp", m.outbound())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	for range pipelined {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: 6000\r\n\r\n", target, host, newID(""))
	}
	buffer := make([]byte, 8<<10)
	total := 0
	for total < pipelined*replySize {
		n, err := conn.Read(buffer)
		total += n
		if err != nil {
			m.d.record.printf("client on %s: %d bytes, %v", m.name, total, err)
			return
		}
		if slow {
			time.Sleep(100 * time.Millisecond)
		}
	}
	m.d.record.printf("client on %s: %d bytes", m.name, total)
}
