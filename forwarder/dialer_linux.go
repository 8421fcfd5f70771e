package forwarder

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledged returns for how long the other end of a connection has
// acknowledged nothing although data is outstanding; 0 if none is outstanding,
// or if that can't be determined. A slow reader still acknowledges the probes of
// its closed window, so that it does not count as silent.
func unacknowledged(conn net.Conn) time.Duration {
	info := tcpInfo(conn)
	if info == nil || info.Unacked == 0 {
		return 0
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond
}

// tcpInfo returns what the kernel knows of a connection; nil if that can't be determined. It
// leaves a pending error of the socket where it is.
func tcpInfo(conn net.Conn) *unix.TCPInfo {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	err = control.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil
	}
	return info
}

// closedByPeer reports whether the other end has closed a connection in order, and has not
// reset it since. It returns false if that can't be determined.
func closedByPeer(conn net.Conn) bool {
	info := tcpInfo(conn)
	return info != nil && info.State == unix.BPF_TCP_CLOSE_WAIT
}

// followsClose reports whether the error of a write shows that the other end has closed the
// connection in order before it reset it: after a reset alone, the first system call fails with
// ECONNRESET.
func followsClose(conn net.Conn, err error) bool {
	return tcpInfo(conn) != nil && errors.Is(err, unix.EPIPE)
}

// newPeek returns a function that reports, without waiting, whether there is
// something to read from a connection, such as its end; nil if that can't be
// determined.
func newPeek(conn net.Conn) func() bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return nil
	}
	found := false
	room := make([]byte, 1)
	check := func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), room, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = err != unix.EAGAIN
		return true
	}
	return func() bool {
		return control.Read(check) != nil || found
	}
}
