//go:build review

package stand

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { plays["idle-operators"] = playIdleOperators }

// playIdleOperators lets programs of the operators read the manifest over connections that they
// keep open, and then changes the manifest and reads it back.
func playIdleOperators(record *recorder, trouble bool) (bool, error) {
	const (
		programs = 70
		bound    = 4 * time.Second
		patience = 30 * time.Second
	)
	in, err := install(record, []string{"alpha", "alpha", "beta"}, nil)
	if err != nil {
		return false, err
	}
	defer in.end()
	read := 0
	for _, m := range in.core {
		for range programs {
			conn, err := net.DialTimeout("tcp", m.control(), time.Second)
			if err != nil {
				continue
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprintf(conn, "GET /config HTTP/1.1\r\nHost: control\r\n\r\n")
			a, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				record.printf("operator: reading at %s: %v", m.name, err)
				break
			}
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
			read++
			if !trouble {
				_ = conn.Close()
			}
		}
	}
	record.printf("operator: %d reads were answered", read)
	body, err := json.Marshal(manifest(2, 1, []string{"alpha", "beta"}, standardRoutes[:2]))
	if err != nil {
		return false, err
	}
	answered := in.attempt(http.MethodPut, body, patience)
	back := in.attempt(http.MethodGet, nil, patience)
	return answered > bound || back > bound, nil
}

// attempt sends an order to one control machine after another, each with a second's time, and
// returns after what time it was answered 200, or the patience.
func (in *installation) attempt(method string, body []byte, patience time.Duration) time.Duration {
	began := time.Now()
	for n := 0; time.Since(began) < patience; n++ {
		m := in.core[n%len(in.core)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, _, err := m.order(ctx, method, body)
		cancel()
		in.record.printf("operator: %s at %s: %d %v", method, m.name, status, err)
		if err == nil && status == http.StatusOK {
			in.record.printf("check: %s was answered after %v", method, time.Since(began))
			return time.Since(began)
		}
		time.Sleep(100 * time.Millisecond)
	}
	in.record.printf("check: %s had no answer in %v", method, patience)
	return patience
}
