package loopback

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// CutOff makes the kernel drop everything that arrives on a connection, as if the network
// to its host had failed: nothing is acknowledged, and the other end is not told.
func CutOff(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	// The program returns the number of bytes to keep of each segment.
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter)
	})
	return errors.CombineErrors(err, optionErr)
}
