// Package loopback gives out free loopback addresses to fleets that run inside
// one process: the demo, the load tool and tests.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports lie below the range from which the system takes the ports of
// outgoing connections, which may occupy a port between its choice and its
// use. They are divided into blocks, and a process claims a block by listening
// on its last port, so that two processes never choose the same port. A block
// is large, so that the address of a VM that is down is not given out again
// before the VM is restarted.
const (
	firstPort     = 20000
	portsPerBlock = 1000
	blocks        = 12
)

var (
	mu    sync.Mutex
	claim net.Listener
	base  int
	next  int
)

var errNoPort = errors.New("no loopback port is free")

// Address returns an address that is free for TCP and UDP.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	if err := claimBlock(); err != nil {
		return "", err
	}
	for range portsPerBlock - 1 {
		address := fmt.Sprint("127.0.0.1:", base+next)
		next = (next + 1) % (portsPerBlock - 1)
		if free(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

func claimBlock() error {
	if claim != nil {
		return nil
	}
	start := rand.IntN(blocks)
	for i := range blocks {
		first := firstPort + (start+i)%blocks*portsPerBlock
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", first+portsPerBlock-1))
		if err == nil {
			claim, base = l, first
			return nil
		}
	}
	return errNoPort
}

func free(address string) bool {
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
