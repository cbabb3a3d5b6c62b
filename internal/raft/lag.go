package raft

import "time"

// commitLag tracks how long a replica takes to store what is committed. While entries
// are committed all the time, a replica that is far away always lacks those of the last
// round trip, and can be caught up nevertheless.
type commitLag struct {
	// index was the commit index at since. The replica is to store it next.
	index uint64
	since time.Duration
	// short is set if the replica stored the index before this one in time.
	short bool
}

// maxCommitLag returns how long a replica that counts as caught up may take to store a
// committed entry. It is longer than a round trip between regions.
func (n *Node) maxCommitLag() time.Duration { return n.config.ElectionTimeout / 2 }

// trackLag updates the lag of a replica.
func (n *Node) trackLag(p *peer) {
	if p.match < p.lag.index {
		return
	}
	now := n.config.Clock()
	p.lag = commitLag{index: n.log.commit, since: now, short: now-p.lag.since <= n.maxCommitLag()}
}

// peerCaughtUp reports whether a replica has finished bootstrapping, responds and
// stores every entry that was committed maxCommitLag ago.
func (n *Node) peerCaughtUp(id string) bool {
	p := n.peers[id]
	if p == nil || !p.bootstrapped || !n.active(p) {
		return false
	}
	return p.match >= n.log.commit || p.lag.short && n.config.Clock()-p.lag.since <= n.maxCommitLag()
}
