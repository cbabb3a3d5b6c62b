package sockopt

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// SendState is the state of the data that a TCP connection sends (TCP_INFO).
type SendState struct {
	// SegmentsInFlight counts the segments that are sent and not acknowledged.
	SegmentsInFlight uint32
	// UnsentBytes is the data that waits to be sent.
	UnsentBytes uint32
	// Probes counts the probes of a closed receive window since the last acknowledgement.
	Probes uint8
	// SinceAck is the time since the last acknowledgement arrived, SinceSend the time since
	// data was last sent or sent again. Probes are not data.
	SinceAck  time.Duration
	SinceSend time.Duration
}

// Flushed reports whether everything that was written is acknowledged.
func (s SendState) Flushed() bool { return s.SegmentsInFlight == 0 && s.UnsentBytes == 0 }

// ReadSendState returns the state of the data that a connection sends.
func ReadSendState(conn syscall.Conn) (SendState, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return SendState{}, err
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err = errors.CombineErrors(err, optionErr); err != nil {
		return SendState{}, err
	}
	return SendState{
		SegmentsInFlight: info.Unacked, UnsentBytes: info.Notsent_bytes, Probes: info.Probes,
		SinceAck:  time.Duration(info.Last_ack_recv) * time.Millisecond,
		SinceSend: time.Duration(info.Last_data_sent) * time.Millisecond,
	}, nil
}
