// Package membership tracks which VMs are alive. The package does no I/O.
package membership

// Status is what a VM believes about a member.
type Status uint8

// The states of a member.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// Member is one VM as known to another.
type Member struct {
	// VM names the member.
	VM string
	// Zone and Region are where it runs.
	Zone   string
	Region string
	// Slot is its slot in the zone.
	Slot int
	// PeerAddress, GossipAddress and AdminAddress are its addresses.
	PeerAddress   string
	GossipAddress string
	AdminAddress  string
	// Voter is true if it is in the first voter set of the control log.
	Voter bool
	// Incarnation is the start time of the VM in microseconds.
	Incarnation uint64
	// Version grows, within an incarnation, with every refutation and every
	// change of the payload. Only the member itself raises it.
	Version uint64
	// Status is what the observer believes.
	Status Status
	// ConfigRevision is the configuration that it has in force.
	ConfigRevision uint64
	// KeyDigest summarises the withdrawn keys that it knows.
	KeyDigest uint64
	// TargetAddress is where targets announce themselves to it.
	TargetAddress string
}
