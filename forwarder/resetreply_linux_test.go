package forwarder_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// TestReplyOfSilentConnectionIsPassedOnAsWhole guards against a reply without a length whose
// connection the kernel gives up during the upload, and that the caller gets as whole.
func TestReplyOfSilentConnectionIsPassedOnAsWhole(t *testing.T) {
	const userTimeout = 200 * time.Millisecond
	for _, part := range []int{10, 64 << 10} {
		sent := untilClose + strings.Repeat("p", part)
		release := make(chan struct{})
		front, back := socketPair(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, sent)
			<-release
		}, lateReading{left: len(sent), Dialer: net.Dialer{
			Control: func(_, _ string, c syscall.RawConn) error {
				var err error
				return errors.Join(c.Control(func(fd uintptr) {
					err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
				}), err)
			},
		}})
		for _, n := range []*node{front, back} {
			for _, chunked := range []bool{false, true} {
				got := n.serve(uploadRequest(chunked, 0))
				qt.Check(t, got.outcome(), qt.Equals, "may-have-run:connection-silent")
			}
		}
		close(release)
	}
}
