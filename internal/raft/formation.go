package raft

// A replica that starts with an empty disk is either new or has lost its disk,
// and with it the votes and acknowledgements that it had given. Until it knows
// which, it is bootstrapping and neither votes nor campaigns. It is new if all
// other replicas of the initial voter set are empty too. Otherwise it must be
// removed and added again; its bootstrap ends once its log shows that it is a
// learner.

// bootstrapState tracks the bootstrap of a replica that started with an empty
// disk.
type bootstrapState struct {
	// pending is set until bootstrap has finished. Until then the replica must
	// not vote.
	pending bool
	// nonce distinguishes responses to this process from responses to an earlier
	// one.
	nonce uint64
	// empty and bootstrapped hold, for the ID of each replica that responded,
	// whether it has stored nothing and whether it has finished bootstrapping.
	empty        map[string]bool
	bootstrapped map[string]bool
	// finishUnsaved is set from the end of bootstrap until the caller has saved
	// it.
	finishUnsaved bool
}

func (n *Node) initBootstrap(pending bool) {
	n.bootstrap = bootstrapState{
		pending: pending, nonce: n.config.Rand.Uint64(),
		empty: make(map[string]bool), bootstrapped: make(map[string]bool),
	}
	n.checkBootstrap()
}

// isEmpty reports whether this replica has never joined a term or stored an
// entry.
func (n *Node) isEmpty() bool { return n.term == 0 && n.log.last() == 0 }

// bootstrapping reports whether this replica, or the initial voter set, is still
// bootstrapping. A voter must not start the first election until all voters have
// finished: a voter that starts later would find the others no longer empty.
func (n *Node) bootstrapping() bool {
	return n.bootstrap.pending || n.isEmpty() && !n.allOtherVoters(n.bootstrap.bootstrapped)
}

// allOtherVoters reports whether set is true for every other voter.
func (n *Node) allOtherVoters(set map[string]bool) bool {
	for _, member := range n.log.members() {
		if member.Voter && member.ID != n.id && !set[member.ID] {
			return false
		}
	}
	return true
}

// sendBootstrapQueries asks the other voters whether they are empty and have
// finished bootstrapping.
func (n *Node) sendBootstrapQueries() {
	for _, member := range n.log.members() {
		if member.Voter && member.ID != n.id {
			n.send(Message{Kind: MsgBootstrapQuery, To: member.ID, ReadRound: n.bootstrap.nonce})
		}
	}
}

func (n *Node) handleBootstrapQuery(m *Message) {
	n.send(Message{
		Kind: MsgBootstrapQueryResponse, To: m.From, ReadRound: m.ReadRound,
		Reject: !n.isEmpty(),
	})
}

func (n *Node) handleBootstrapQueryResponse(m *Message) {
	b := &n.bootstrap
	if m.ReadRound != b.nonce {
		return
	}
	b.empty[m.From] = !m.Reject
	b.bootstrapped[m.From] = m.Bootstrapped
	n.checkBootstrap()
}

func (n *Node) checkBootstrap() {
	if n.bootstrap.pending && n.isEmpty() && n.log.members().IsVoter(n.id) && n.allOtherVoters(n.bootstrap.empty) {
		n.finishBootstrap()
	}
}

// checkLearnerBootstrap ends the bootstrap of a replica that was added as a
// learner. Its commit index must cover an entry of the current leader's term:
// only then does it cover every earlier membership change.
func (n *Node) checkLearnerBootstrap() {
	if !n.bootstrap.pending || !n.log.matches(n.log.commit, n.term) {
		return
	}
	if member, ok := n.log.membershipAt(n.log.commit).Find(n.id); ok && !member.Voter {
		n.finishBootstrap()
	}
}

func (n *Node) finishBootstrap() {
	n.bootstrap.pending = false
	n.bootstrap.finishUnsaved = true
}
