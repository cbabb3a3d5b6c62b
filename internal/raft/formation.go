package raft

// A replica that starts on an empty disk may be a new one, or one whose disk
// was lost together with the votes and acknowledgements it had given. It
// neither votes nor campaigns until it knows. It is new if all others of the
// first voter set are empty as well. Otherwise it must be removed and added
// again, and has caught up once it sees itself as a learner.

// formation is the state of a replica that has stored nothing yet.
type formation struct {
	// new is set until the replica may vote.
	new bool
	// nonce tells answers to this process from answers to an earlier one.
	nonce uint64
	// empty and formed hold the others that answered so.
	empty  map[string]bool
	formed map[string]bool
	// changed is set until Ready reports that the replica is formed.
	changed bool
}

func (n *Node) initFormation(blank bool) {
	n.formation = formation{
		new: blank, nonce: n.config.Rand.Uint64(),
		empty: make(map[string]bool), formed: make(map[string]bool),
	}
	n.checkFormation()
}

// blank reports whether this replica has never taken part in anything.
func (n *Node) blank() bool { return n.term == 0 && n.log.last() == 0 }

// waiting reports whether the first voter set is still forming. A voter must
// not start the first election before all are formed: one that comes late
// would find the others not empty.
func (n *Node) waiting() bool {
	return n.formation.new || n.blank() && !n.all(n.formation.formed)
}

// all reports whether every other voter is in set.
func (n *Node) all(set map[string]bool) bool {
	for _, member := range n.log.members() {
		if member.Voter && member.ID != n.id && !set[member.ID] {
			return false
		}
	}
	return true
}

// sayHello asks the other voters while the first voter set forms.
func (n *Node) sayHello() {
	for _, member := range n.log.members() {
		if member.Voter && member.ID != n.id {
			n.send(Message{Kind: MsgHello, To: member.ID, Round: n.formation.nonce})
		}
	}
}

func (n *Node) handleHello(m *Message) {
	n.send(Message{
		Kind: MsgHelloResponse, To: m.From, Round: m.Round,
		Reject: !n.blank(),
	})
}

func (n *Node) handleHelloResponse(m *Message) {
	f := &n.formation
	if m.Round != f.nonce {
		return
	}
	f.empty[m.From] = !m.Reject
	f.formed[m.From] = m.Formed
	n.checkFormation()
}

func (n *Node) checkFormation() {
	if n.formation.new && n.blank() && n.log.members().Voter(n.id) && n.all(n.formation.empty) {
		n.setFormed()
	}
}

// checkLearner ends the formation of a replica that was added as a learner.
// The commit must include an entry of the current leader: only then does it
// include every earlier membership change.
func (n *Node) checkLearner() {
	if !n.formation.new || !n.log.matches(n.log.commit, n.term) {
		return
	}
	if member, ok := n.log.membersAt(n.log.commit).Find(n.id); ok && !member.Voter {
		n.setFormed()
	}
}

func (n *Node) setFormed() {
	n.formation.new = false
	n.formation.changed = true
}
