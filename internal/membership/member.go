// Package membership implements a gossip protocol that tracks which VMs are
// alive and distributes target heartbeats. The package does no I/O.
package membership

// Status is a VM's view of the state of a member.
type Status uint8

// Member states.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// Member is a VM as known to another VM.
type Member struct {
	// VM is the name of the member.
	VM string
	// Zone and Region are the availability zone and region of the member.
	Zone   string
	Region string
	// Slot is the member's slot in its zone.
	Slot int
	// PeerAddress, GossipAddress and AdminAddress are the member's addresses.
	PeerAddress   string
	GossipAddress string
	AdminAddress  string
	// Voter is true if the member belongs to the initial voter set of the
	// control log.
	Voter bool
	// Incarnation is the start time of the VM in microseconds since the Unix
	// epoch. It may be raised to outrank a stale state of the same VM.
	Incarnation uint64
	// Version increases within an incarnation with every refutation and every
	// payload change. Only the member itself increments it.
	Version uint64
	// Status is the observer's view of the member.
	Status Status
	// ConfigRevision is the configuration revision that is active on the member.
	ConfigRevision uint64
	// KeyDigest is the digest of the withdrawn keys known to the member.
	KeyDigest uint64
	// TargetAddress is the address to which targets announce themselves.
	TargetAddress string
}
