package starter_test

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/starter"
)

// TestTracesAreDroppedInSilence guards against a program without an exporter that accepts
// settings with a trace endpoint.
func TestTracesAreDroppedInSilence(t *testing.T) {
	settings, err := os.ReadFile("../examples/loopback/fees.ini")
	qt.Assert(t, err, qt.IsNil)
	traced := strings.Replace(string(settings), "[process]\n", "[process]\ntrace-endpoint = http://127.0.0.1:1/\n", 1)
	file := filepath.Join(t.TempDir(), "settings.ini")
	qt.Assert(t, os.WriteFile(file, []byte(traced), 0o600), qt.IsNil)
	qt.Assert(t, starter.Serve(starter.Config{Settings: file}), qt.ErrorMatches, "(?s).*can't export traces.*")
}

// TestSecondSignalCutsDrain guards against a signal that ends a process before the drain is
// over, which would cut the requests that it carries.
func TestSecondSignalCutsDrain(t *testing.T) {
	// Keeps the signals from ending the test's process before Serve catches them.
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(caught)
	const drainTime = 500 * time.Millisecond
	addresses := freeAddresses(t, 5)
	file := filepath.Join(t.TempDir(), "settings.ini")
	settings := fmt.Sprintf("[process]\ndata-centre = dc-1\npeer-address = %s\ntelemetry-address = %s\ncontrol-addresses = 127.0.0.1:1\n"+
		"drain-time = %s\ndrain-limit = 10s\n[node]\nserver-name = fees-1\nservice = fees\nentry-address = %s\n"+
		"outbound-address = %s\nbackend-address = %s\n",
		addresses[0], addresses[1], drainTime, addresses[2], addresses[3], addresses[4])
	qt.Assert(t, os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- starter.Serve(starter.Config{Settings: file}) }()
	for {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addresses[1])
		if err == nil {
			_ = conn.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	started := time.Now()
	for _, s := range []syscall.Signal{
		syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGINT, syscall.SIGTERM,
	} {
		qt.Assert(t, syscall.Kill(os.Getpid(), s), qt.IsNil)
		time.Sleep(20 * time.Millisecond)
	}
	qt.Assert(t, <-ended, qt.IsNil)
	qt.Assert(t, time.Since(started) >= drainTime, qt.IsTrue, qt.Commentf("ended after %v", time.Since(started)))
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(t *testing.T, n int) []string {
	out := make([]string, 0, n)
	for range n {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out
}
