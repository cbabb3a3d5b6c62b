package membership

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

// Kind is the type of a message. Its values are part of the wire format.
type Kind uint32

// Message kinds.
const (
	// KindProbe requests a KindAck with the same sequence.
	KindProbe Kind = 1
	KindAck   Kind = 2
	// KindProbeRequest asks the receiver to probe Subject.
	KindProbeRequest Kind = 3
	// KindGossip carries updates and requests nothing.
	KindGossip Kind = 4
	// KindSyncRequest requests the full state of Zones. The reply is one or
	// more KindSync messages.
	KindSyncRequest Kind = 5
	KindSync        Kind = 6
)

// Message is the content of one packet.
type Message struct {
	// Kind is the type of the message.
	Kind Kind
	// From, Incarnation and Zone describe the sender.
	From        string
	Incarnation uint64
	Zone        string
	// Sequence matches an ack to its probe.
	Sequence uint64
	// Subject is the gossip address to probe. Only KindProbeRequest sets it.
	Subject string
	// Zones lists the requested zones in a KindSyncRequest; empty means all. In
	// a KindProbe of a delegate, it periodically lists the zones that the
	// sender knows.
	Zones []string
	// SyncBack asks the receiver to request the sender's state in turn.
	SyncBack bool

	// Updates, Targets, Heartbeats, Digests and Drains are the gossiped updates.
	Updates    []Update
	Targets    []TargetUpdate
	Heartbeats []HeartbeatUpdate
	Digests    []Digest
	Drains     []target.Drain
}

// Update is a gossiped change of a member.
type Update struct {
	Member
	// Brief is true if the update omits the fields that stay the same within
	// an incarnation.
	Brief bool
}

// TargetUpdate is a gossiped target announcement.
type TargetUpdate struct {
	target.Announcement
	// Age is the time since a VM received the heartbeat.
	Age time.Duration
}

// HeartbeatUpdate is a gossiped heartbeat of a known target.
type HeartbeatUpdate struct {
	target.Heartbeat
	// Age is the time since a VM received the heartbeat.
	Age time.Duration
}

// Digest summarises a zone as known to one of its VMs. Zones exchange digests
// instead of the heartbeats of their members and targets.
type Digest struct {
	// Zone is the summarised zone.
	Zone string
	// VM is the VM that created the digest, Incarnation its incarnation, and
	// Sequence the number of the digest within it.
	VM          string
	Incarnation uint64
	Sequence    uint64
	// MembersHash is a hash over the live members and their versions.
	MembersHash uint64
	// Targets summarises the targets and confirms which of them are live. Its
	// age includes the transit time so far.
	Targets target.Summary
}

// Packet is a message with its destination.
type Packet struct {
	// To is the gossip address of the receiver.
	To string
	// Message is the content of the packet.
	Message Message
}

// MaxPacketBytes is the maximum size of a packet. It is small enough that IP
// never fragments a packet.
const MaxPacketBytes = 1200

// Upper bounds of the encoded sizes of the fixed-size fields. A packet that is
// filled according to them never exceeds MaxPacketBytes.
const (
	// headerBytes covers the format version, the HMAC and the scalar fields.
	headerBytes       = 1 + 32 + 48
	briefUpdateBytes  = 48
	descriptionBytes  = 32
	announcementBytes = 110
	heartbeatBytes    = 40
	digestBytes       = 60
	drainBytes        = 16
	stringBytes       = 3
)

func (u *Update) size() int {
	n := briefUpdateBytes + len(u.VM)
	if u.Brief {
		return n
	}
	n += descriptionBytes + len(u.Zone) + len(u.Region)
	return n + len(u.PeerAddress) + len(u.GossipAddress) + len(u.AdminAddress) + len(u.TargetAddress)
}

func (t *TargetUpdate) size() int {
	n := announcementBytes + len(t.ID) + len(t.Kind) + len(t.Zone) + len(t.Region) + len(t.URL)
	n += len(t.Model) + len(t.Service) + len(t.Version) + len(t.Role)
	for _, a := range t.Adapters {
		n += len(a) + stringBytes
	}
	return n
}

// FitsPacket reports whether an announcement fits into one packet. An
// announcement with dozens of long adapter names may be too large.
func FitsPacket(a target.Announcement) bool {
	return newPacketBuilder(KindGossip).addTarget(TargetUpdate{Announcement: a})
}

func (d *Digest) size() int { return digestBytes + len(d.Zone) + len(d.VM) + len(d.Targets.Live) }
