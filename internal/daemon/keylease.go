package daemon

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

const (
	// delegatesPerZone is how many VMs of a zone poll the control VMs. The other
	// VMs poll the delegates, so that the load on voters does not grow with the
	// number of VMs.
	delegatesPerZone = 2
	// maxVoterAttempts limits the voters that one refresh asks.
	maxVoterAttempts = 2
	// maxContactAge is the age above which the contact of another VM is too old
	// to rely on, so that a refresh goes on to the next source.
	maxContactAge  = 2 * configCheckInterval
	barrierTimeout = time.Second
)

// controlContact records the last contact, direct or through a zone peer, with
// a control VM that had a quorum.
type controlContact struct {
	mu   sync.Mutex
	last time.Time
}

func (c *controlContact) record(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.last) {
		c.last = at
	}
}

// age returns the time since the last contact, and false if there was none.
func (c *controlContact) age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(c.last)), true
}

// refresh fetches changes and renews the contact with the control VMs.
func (d *distribution) refresh(ctx context.Context) {
	if d.node.followsLog() {
		d.refreshFromQuorum(ctx)
		return
	}
	if !d.isDelegate() && d.refreshFromZone(ctx) {
		return
	}
	d.refreshFromVoters(ctx)
}

// followsLog reports whether the state machines of this VM are updated from
// the log.
func (n *Node) followsLog() bool {
	if n.replica == nil {
		return n.settings.IsInitialVoter()
	}
	status := n.replica.Status()
	_, member := status.Members.Find(status.ID)
	return member && status.Failure == nil
}

// refreshFromQuorum renews the contact of a voter by a read barrier. A voter
// without a quorum does not count as a control VM, because withdrawals may be
// committed without its knowledge.
func (d *distribution) refreshFromQuorum(ctx context.Context) {
	if d.node.log == nil {
		return
	}
	asked := d.node.clock()
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if _, err := d.node.log.Barrier(ctx); err == nil {
		d.contact.record(asked)
	}
}

// isDelegate reports whether this VM is among the delegates of its zone, the
// VMs with the lowest names.
func (d *distribution) isDelegate() bool {
	lower := 0
	for _, p := range d.zonePeers() {
		if p.vm < d.node.settings.VM {
			lower++
		}
	}
	return lower < delegatesPerZone
}

// zonePeers returns the other VMs of the zone, sorted by name.
func (d *distribution) zonePeers() []peer {
	var out []peer
	for _, p := range d.node.peers() {
		if p.zone == d.node.settings.Zone {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].vm < out[j].vm })
	return out
}

// refreshFromZone polls the zone peers with the lowest names. For a VM that is
// not a delegate, these are the delegates. It reports whether one of them had
// recent contact with a control VM.
func (d *distribution) refreshFromZone(ctx context.Context) bool {
	peers := d.zonePeers()
	for _, p := range peers[:min(len(peers), delegatesPerZone)] {
		if age, ok := d.refreshFromPeer(ctx, p); ok && age < maxContactAge {
			return true
		}
	}
	return false
}

// refreshFromVoters polls voters, nearest first, until one has recent contact
// with the quorum. If none has, it calls refreshFromZone, because zone peers
// may reach other voters.
func (d *distribution) refreshFromVoters(ctx context.Context) {
	voters := d.votersByDistance()
	for _, p := range voters[:min(len(voters), maxVoterAttempts)] {
		if age, ok := d.refreshFromPeer(ctx, p); ok && age < maxContactAge {
			return
		}
	}
	d.refreshFromZone(ctx)
}

func (d *distribution) votersByDistance() []peer {
	var out []peer
	for _, p := range d.node.peers() {
		if p.voter {
			out = append(out, p)
		}
	}
	distance := func(p peer) int {
		switch {
		case p.zone == d.node.settings.Zone:
			return 0
		case p.region == d.node.settings.Region:
			return 1
		}
		return 2
	}
	sort.SliceStable(out, func(i, j int) bool { return distance(out[i]) < distance(out[j]) })
	return out
}

// refreshFromPeer pulls from p, synchronizes the withdrawn keys and adopts the
// contact that p had. VMs exchange only durations, not clock readings; the
// duration of the call counts toward the age.
func (d *distribution) refreshFromPeer(ctx context.Context, p peer) (time.Duration, bool) {
	asked := d.node.clock()
	response, err := d.pullFrom(ctx, p.address, &configv1.PullRequest{Since: d.revision()})
	if err != nil {
		d.node.logger.Debug("pull from peer failed", zap.String("vm", p.vm), zap.Error(err))
		return 0, false
	}
	if response.GetKeyDigest() != d.node.withdrawn.Digest() {
		if err := d.node.withdrawals.sync(ctx, p); err != nil {
			return 0, false
		}
	}
	if !response.GetHadControlContact() {
		return 0, false
	}
	age := time.Duration(response.GetControlContactAgeMs()) * time.Millisecond
	d.contact.record(asked.Add(-age))
	return age, true
}
