package replica

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cuminwing/cuminwing/internal/control"
)

// slowLink limits the rate of all bytes that are sent to one address, like a
// link that several connections share.
type slowLink struct {
	address     string
	bytesPerSec float64

	mu       sync.Mutex
	freeFrom time.Time
}

// linkSegmentBytes is how much a connection sends before others have their turn.
const linkSegmentBytes = 16 << 10

// wait blocks until the link has sent n bytes.
func (l *slowLink) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeFrom.Before(now) {
		l.freeFrom = now
	}
	l.freeFrom = l.freeFrom.Add(time.Duration(float64(n) / l.bytesPerSec * float64(time.Second)))
	until := l.freeFrom
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

type slowConn struct {
	net.Conn
	link *slowLink
}

func (c *slowConn) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		segment := b[:min(len(b), linkSegmentBytes)]
		c.link.wait(len(segment))
		n, err := c.Conn.Write(segment)
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}

// limitRate makes all VMs together send at most bytesPerSec to v.
func (c *cluster) limitRate(v *vm, bytesPerSec float64) {
	c.link.Store(&slowLink{address: v.address, bytesPerSec: bytesPerSec})
	c.faults.base.CloseIdleConnections()
}

// proposeLarge proposes a command of the given size.
func proposeLarge(t *testing.T, v *vm, value uint64, size int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	body := append(protowire.AppendVarint(nil, value), make([]byte, size)...)
	for {
		_, err := v.log.Propose(ctx, control.KindClaims, body)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("value %d was not committed: %v", value, err)
		}
	}
}

// Guards against a replica that never catches up over a slow link, because one
// entry takes longer to send than a request between replicas may take.
func TestReplicaBehindASlowLinkCatchesUpOnLargeEntries(t *testing.T) {
	const entries, entryBytes = 6, 3 << 20
	c := newCluster(t, 3)
	leader := c.leader(c.vms...)
	remote := c.others(leader)[0]
	remote.stop()
	c.limitRate(remote, 8<<20)
	for i := range entries {
		proposeLarge(t, leader, uint64(i), entryBytes)
	}
	c.restart(remote)
	deadline := time.Now().Add(testTimeout)
	for len(remote.state.values()) < entries {
		if time.Now().After(deadline) {
			t.Fatalf("the replica has applied %d of %d entries", len(remote.state.values()), entries)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a leader that loses its lease while the only other reachable voter
// receives an entry that takes longer than the election timeout to send.
func TestLeaderKeepsItsLeaseWhileALargeEntryIsSent(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader(c.vms...)
	others := c.others(leader)
	others[1].stop()
	c.limitRate(others[0], 4<<20)
	term := leader.replica.Status().Term
	proposeLarge(t, leader, 1, 6<<20)
	if now := leader.replica.Status().Term; now != term {
		t.Errorf("the term changed from %d to %d while the entry was sent", term, now)
	}
}
