package pipeliner_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"waxwingseam.example/waxwingseam/pipeliner"
)

// BenchmarkOneRequest compares the cost of one request and its answer on a kept
// connection with that of the standard library's server, in pairs.
func BenchmarkOneRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Content-Length"] = []string{"1500"}
		_, _ = w.Write(make([]byte, 1500))
	})
	for _, v := range []struct {
		name   string
		server interface{ Serve(l net.Listener) error }
	}{
		{"standard", &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}},
		{"pipeliner", pipeliner.New(pipeliner.Config{Handler: handler})},
	} {
		b.Run(v.name, func(b *testing.B) {
			var lc net.ListenConfig
			listener, err := lc.Listen(b.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = v.server.Serve(listener) }()
			defer func() { _ = listener.Close() }()
			var d net.Dialer
			conn, err := d.DialContext(b.Context(), "tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			request := []byte("GET /lots/17 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Request-Deadline: 6000\r\n\r\n")
			answer := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = conn.Write(request)
				for got := 0; got < 1500; {
					n, err := conn.Read(answer)
					if err != nil {
						b.Fatal(err)
					}
					got += n
				}
			}
		})
	}
}
