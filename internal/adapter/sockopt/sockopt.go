// Package sockopt sets socket options that the standard library does not support.
package sockopt

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Control is the type of the Control functions of net.Dialer and
// net.ListenConfig.
type Control func(network, address string, raw syscall.RawConn) error

// AckTimeout returns a Control that sets TCP_USER_TIMEOUT, the maximum time that
// sent data may remain unacknowledged. When it is exceeded, the connection fails
// with an error, so that an unresponsive peer is detected.
func AckTimeout(timeout time.Duration) Control {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
		return errors.CombineErrors(err, optionErr)
	}
}

// SetAckTimeout sets TCP_USER_TIMEOUT on an open connection; 0 sets the limit of the system.
func SetAckTimeout(conn syscall.Conn, timeout time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return AckTimeout(timeout)("", "", raw)
}

// UnreadBytes returns the number of bytes that have arrived on a connection and were not
// read; 0 if it cannot be determined.
func UnreadBytes(conn syscall.Conn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	controlErr := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if controlErr != nil || err != nil {
		return 0
	}
	return unread
}
