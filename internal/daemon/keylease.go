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
	// zoneDelegates is how many VMs of a zone ask the control VMs; the others
	// ask these, so that the load on voters does not grow with the fleet.
	zoneDelegates = 2
	// maxVoterAttempts bounds the voters that one check asks.
	maxVoterAttempts = 2
	// freshContact is the age above which a zone peer's contact does not
	// spare the own question to a voter.
	freshContact   = 2 * configCheckInterval
	barrierTimeout = time.Second
)

// controlLease remembers the last contact with a control VM that had a quorum,
// directly or through a zone peer.
type controlLease struct {
	mu   sync.Mutex
	last time.Time
}

func (l *controlLease) confirm(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.last) {
		l.last = at
	}
}

// age returns the time since the contact; false if there was none.
func (l *controlLease) age(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(l.last)), true
}

// check asks for news and renews the contact with the control VMs.
func (d *distribution) check(ctx context.Context) {
	if d.node.followsLog() {
		d.checkQuorum(ctx)
		return
	}
	if !d.delegate() && d.checkZone(ctx) {
		return
	}
	d.checkVoters(ctx)
}

// followsLog reports whether the replicated parts of this VM follow the log.
func (n *Node) followsLog() bool {
	if n.replica == nil {
		return n.settings.Voter()
	}
	status := n.replica.Status()
	_, member := status.Members.Find(status.ID)
	return member && status.Failure == nil
}

// checkQuorum renews the contact of a voter. A voter without a quorum is no
// control VM: withdrawals may be committed that it does not know of.
func (d *distribution) checkQuorum(ctx context.Context) {
	if d.node.log == nil {
		return
	}
	asked := d.node.clock()
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if _, err := d.node.log.Barrier(ctx); err == nil {
		d.lease.confirm(asked)
	}
}

// delegate reports whether this VM is one of the lowest names of its zone.
func (d *distribution) delegate() bool {
	lower := 0
	for _, p := range d.zonePeers() {
		if p.vm < d.node.settings.VM {
			lower++
		}
	}
	return lower < zoneDelegates
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

// checkZone asks the delegates of the zone. It reports whether one of them had
// contact with a control VM lately.
func (d *distribution) checkZone(ctx context.Context) bool {
	peers := d.zonePeers()
	for _, p := range peers[:min(len(peers), zoneDelegates)] {
		if age, ok := d.checkPeer(ctx, p); ok && age < freshContact {
			return true
		}
	}
	return false
}

// checkVoters asks voters, nearest first, until one has contact with the
// quorum; then it asks the zone peers, which may reach other voters.
func (d *distribution) checkVoters(ctx context.Context) {
	voters := d.votersByDistance()
	for _, p := range voters[:min(len(voters), maxVoterAttempts)] {
		if age, ok := d.checkPeer(ctx, p); ok && age < freshContact {
			return
		}
	}
	d.checkZone(ctx)
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

// checkPeer pulls from p, makes the withdrawn keys equal and takes over the
// contact that p had. Only durations cross between VMs; the time of the call is
// counted into the age.
func (d *distribution) checkPeer(ctx context.Context, p peer) (time.Duration, bool) {
	asked := d.node.clock()
	answer, err := d.pullFrom(ctx, p.address, &configv1.PullRequest{Since: d.revision()})
	if err != nil {
		d.node.logger.Debug("check failed", zap.String("vm", p.vm), zap.Error(err))
		return 0, false
	}
	if answer.GetKeyDigest() != d.node.withdrawn.Digest() {
		if err := d.node.withdrawals.sync(ctx, p); err != nil {
			return 0, false
		}
	}
	if !answer.GetHadControlContact() {
		return 0, false
	}
	age := time.Duration(answer.GetControlContactAgeMs()) * time.Millisecond
	d.lease.confirm(asked.Add(-age))
	return age, true
}
