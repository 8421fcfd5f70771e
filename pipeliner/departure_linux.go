package pipeliner

import (
	"encoding/binary"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// newDeparture returns a function that reports whether the caller has closed or reset its
// connection, also if there are bytes to read before the end; nil if that can't be
// determined.
func newDeparture(conn net.Conn) func() bool {
	control := newControl(conn)
	if control == nil {
		return nil
	}
	left := false
	check := func(fd uintptr) {
		info, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		left = err == nil && hasEnded(info)
	}
	return func() bool {
		// An error means that this end is closed.
		return control.Control(check) == nil && left
	}
}

// newControl returns the access to the socket of a connection; nil if there is none.
func newControl(conn net.Conn) syscall.RawConn {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return nil
	}
	return control
}

// newAcknowledged returns a function that returns how many bytes the caller's kernel has
// acknowledged; nil if that can't be determined.
func newAcknowledged(conn net.Conn) func() int64 {
	control := newControl(conn)
	if control == nil {
		return nil
	}
	return func() int64 {
		var out int64
		_ = control.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				out = int64(info.Bytes_acked)
			}
		})
		return out
	}
}

// hasEnded reports whether the state in the first bytes of a tcp_info is one in which
// the other end has closed or reset the connection.
func hasEnded(info int) bool {
	var first [4]byte
	binary.NativeEndian.PutUint32(first[:], uint32(info))
	switch first[0] {
	case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT:
		return true
	}
	return false
}
