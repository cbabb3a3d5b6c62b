// Package loopback allocates free loopback addresses for clusters that run
// within one process: the demo, the load tool and tests.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports lie below the range of ephemeral ports, because an outgoing
// connection could otherwise occupy a port after AllocateAddress has returned
// it and before it is used. The ports are divided into blocks. A process
// reserves a block by listening on the block's last port, so two processes
// never allocate the same port. A block is large, so that the address of a VM
// that is down is not allocated again before the VM is restarted.
const (
	firstPort     = 20000
	portsPerBlock = 1000
	portBlocks    = 12
)

var (
	mu            sync.Mutex
	blockListener net.Listener
	blockStart    int
	nextOffset    int
)

var errNoPort = errors.New("no free loopback port")

// AllocateAddress returns a loopback address whose port is free for TCP and UDP.
func AllocateAddress() (string, error) {
	port, err := AllocatePort()
	if err != nil {
		return "", err
	}
	return address(port), nil
}

// AllocatePort returns a port of the loopback addresses that is free for TCP and UDP and
// that no other process allocates.
func AllocatePort() (int, error) {
	mu.Lock()
	defer mu.Unlock()
	if err := reserveBlock(); err != nil {
		return 0, err
	}
	for range portsPerBlock - 1 {
		port := blockStart + nextOffset
		nextOffset = (nextOffset + 1) % (portsPerBlock - 1)
		if isFree(address(port)) {
			return port, nil
		}
	}
	return 0, errNoPort
}

func address(port int) string { return fmt.Sprint("127.0.0.1:", port) }

func reserveBlock() error {
	if blockListener != nil {
		return nil
	}
	start := rand.IntN(portBlocks)
	for i := range portBlocks {
		first := firstPort + (start+i)%portBlocks*portsPerBlock
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", first+portsPerBlock-1))
		if err == nil {
			blockListener, blockStart = l, first
			return nil
		}
	}
	return errNoPort
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return p.Close() == nil
}
