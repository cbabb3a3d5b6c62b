package membership

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/target"
)

// Kind is the kind of a message. The numbers stand in packets.
type Kind uint32

// The kinds of message.
const (
	// KindProbe asks for a KindAck with the same sequence.
	KindProbe Kind = 1
	KindAck   Kind = 2
	// KindProbeRequest asks the receiver to probe Subject.
	KindProbeRequest Kind = 3
	// KindGossip only carries news.
	KindGossip Kind = 4
	// KindSyncRequest asks for the whole state of Zones, answered by one or
	// more messages of KindSync.
	KindSyncRequest Kind = 5
	KindSync        Kind = 6
)

// Message is the content of one packet.
type Message struct {
	// Kind says what the message is for.
	Kind Kind
	// From, Incarnation and Zone describe the sender.
	From        string
	Incarnation uint64
	Zone        string
	// Sequence matches acknowledgements to probes.
	Sequence uint64
	// Subject is the gossip address to probe; KindProbeRequest only.
	Subject string
	// Zones lists the zones asked for, none for all, in a KindSyncRequest, and
	// now and then the zones that the sender knows, in a KindProbe of a delegate.
	Zones []string
	// PullBack asks the receiver to ask for the sender's state in turn.
	PullBack bool

	// Updates, Targets, Beats, Digests and Drains are news.
	Updates []Update
	Targets []TargetUpdate
	Beats   []BeatUpdate
	Digests []Digest
	Drains  []target.Drain
}

// Update is news about a member.
type Update struct {
	Member
	// Brief updates leave out what stays the same for an incarnation.
	Brief bool
}

// TargetUpdate is an announcement with the age of its heartbeat.
type TargetUpdate struct {
	target.Announcement
	// Age is the time since a VM received the heartbeat.
	Age time.Duration
}

// BeatUpdate is a heartbeat of a known target.
type BeatUpdate struct {
	target.Beat
	// Age is the time since a VM received the heartbeat.
	Age time.Duration
}

// Digest summarises a zone as one of its VMs knows it. Zones exchange digests
// in place of their members' and targets' heartbeats.
type Digest struct {
	// Zone is summarised.
	Zone string
	// VM made the digest, in Incarnation, as number Number.
	VM          string
	Incarnation uint64
	Number      uint64
	// MembersHash identifies the live members and their versions.
	MembersHash uint64
	// Targets vouches for targets; its age includes the way so far.
	Targets target.Summary
}

// Packet is a message on its way to an address.
type Packet struct {
	// To is a gossip address.
	To string
	// Message is the content.
	Message Message
}

// MaxPacketBytes bounds a packet, so that it is never fragmented.
const MaxPacketBytes = 1200

// Bounds of encoded sizes. They are upper bounds for the fields of fixed
// size, so that a packet filled by them never exceeds MaxPacketBytes.
const (
	// headerBytes is the format version, the HMAC and the scalar fields.
	headerBytes       = 1 + 32 + 48
	briefUpdateBytes  = 48
	descriptionBytes  = 32
	announcementBytes = 110
	beatBytes         = 40
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

// Fits reports whether an announcement can be spread in a packet. One with
// dozens of long adapter names may not.
func Fits(a target.Announcement) bool {
	return newPage(KindGossip).addTarget(TargetUpdate{Announcement: a})
}

func (d *Digest) size() int { return digestBytes + len(d.Zone) + len(d.VM) + len(d.Targets.Live) }
