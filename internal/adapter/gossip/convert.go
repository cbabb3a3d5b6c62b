package gossip

import (
	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/target"
	gossipv1 "github.com/cuminwing/cuminwing/proto/gossip/v1"
)

func updateToProto(u *membership.Update) *gossipv1.Update {
	p := &gossipv1.Update{
		Vm:             u.VM,
		Incarnation:    u.Incarnation,
		Version:        u.Version,
		Status:         uint32(u.Status),
		ConfigRevision: u.ConfigRevision,
		KeyDigest:      u.KeyDigest,
	}
	if u.Brief {
		return p
	}
	p.Description = &gossipv1.Description{
		Zone:          u.Zone,
		Region:        u.Region,
		Slot:          int32(u.Slot),
		PeerAddress:   u.PeerAddress,
		GossipAddress: u.GossipAddress,
		AdminAddress:  u.AdminAddress,
		TargetAddress: u.TargetAddress,
		Voter:         u.Voter,
	}
	return p
}

func updateFromProto(p *gossipv1.Update) membership.Update {
	u := membership.Update{Brief: p.Description == nil}
	u.VM = p.Vm
	u.Incarnation = p.Incarnation
	u.Version = p.Version
	u.Status = membership.Status(p.Status)
	u.ConfigRevision = p.ConfigRevision
	u.KeyDigest = p.KeyDigest
	if d := p.Description; d != nil {
		u.Zone, u.Region, u.Slot, u.Voter = d.Zone, d.Region, int(d.Slot), d.Voter
		u.PeerAddress, u.GossipAddress = d.PeerAddress, d.GossipAddress
		u.AdminAddress, u.TargetAddress = d.AdminAddress, d.TargetAddress
	}
	return u
}

func digestToProto(d *membership.Digest) *gossipv1.Digest {
	return &gossipv1.Digest{
		Zone:        d.Zone,
		Vm:          d.VM,
		Incarnation: d.Incarnation,
		Number:      d.Sequence,
		AgeMs:       toMS(d.Targets.Age),
		MembersHash: d.MembersHash,
		TargetsHash: d.Targets.Hash,
		Live:        d.Targets.Live,
	}
}

func digestFromProto(p *gossipv1.Digest) membership.Digest {
	return membership.Digest{
		Zone:        p.Zone,
		VM:          p.Vm,
		Incarnation: p.Incarnation,
		Sequence:    p.Number,
		MembersHash: p.MembersHash,
		Targets:     target.Summary{Hash: p.TargetsHash, Live: p.Live, Age: fromMS(p.AgeMs)},
	}
}

// Bits of the field flags in gossipv1.Announcement.
const (
	flagFencing = 1 << iota
	flagResume
	flagPriority
	flagKV
	flagLoading
	flagLeaving
	flagHTTP2
)

func targetToProto(t *membership.TargetUpdate) *gossipv1.Announcement {
	return &gossipv1.Announcement{
		Id:          t.ID,
		Incarnation: t.Incarnation,
		Sequence:    t.Sequence,
		Kind:        string(t.Kind),
		Zone:        t.Zone,
		Region:      t.Region,
		Url:         t.URL,
		Model:       t.Model,
		Service:     t.Service,
		Version:     t.Version,
		Adapters:    t.Adapters,
		Role:        t.Role,
		BatchSlots:  int64(t.BatchSlots),
		CacheBlocks: int64(t.CacheBlocks),
		Flags:       encodeFlags(&t.Announcement),
		Load:        loadToProto(t.Load),
		AgeMs:       toMS(t.Age),
	}
}

func targetFromProto(p *gossipv1.Announcement) membership.TargetUpdate {
	a := target.Announcement{
		ID:          p.Id,
		Incarnation: p.Incarnation,
		Sequence:    p.Sequence,
		Kind:        target.Kind(p.Kind),
		Zone:        p.Zone,
		Region:      p.Region,
		URL:         p.Url,
		Model:       p.Model,
		Service:     p.Service,
		Version:     p.Version,
		Adapters:    p.Adapters,
		Role:        p.Role,
		BatchSlots:  int(p.BatchSlots),
		CacheBlocks: int(p.CacheBlocks),
		Load:        loadFromProto(p.Load),
		Loading:     p.Flags&flagLoading != 0,
		Leaving:     p.Flags&flagLeaving != 0,
	}
	a.Capabilities.Fencing = p.Flags&flagFencing != 0
	a.Capabilities.Resume = p.Flags&flagResume != 0
	a.Capabilities.Priority = p.Flags&flagPriority != 0
	a.Capabilities.KV = p.Flags&flagKV != 0
	a.Capabilities.HTTP2 = p.Flags&flagHTTP2 != 0
	return membership.TargetUpdate{Announcement: a, Age: fromMS(p.AgeMs)}
}

func encodeFlags(a *target.Announcement) uint32 {
	var f uint32
	set := func(on bool, bit uint32) {
		if on {
			f |= bit
		}
	}
	set(a.Capabilities.Fencing, flagFencing)
	set(a.Capabilities.Resume, flagResume)
	set(a.Capabilities.Priority, flagPriority)
	set(a.Capabilities.KV, flagKV)
	set(a.Capabilities.HTTP2, flagHTTP2)
	set(a.Loading, flagLoading)
	set(a.Leaving, flagLeaving)
	return f
}

func loadToProto(l target.Load) *gossipv1.Load {
	if l == (target.Load{}) {
		return nil
	}
	return &gossipv1.Load{
		Running:             int64(l.Running),
		Waiting:             int64(l.Waiting),
		QueuedPrefillTokens: int64(l.QueuedPrefillTokens),
	}
}

func loadFromProto(p *gossipv1.Load) target.Load {
	if p == nil {
		return target.Load{}
	}
	return target.Load{
		Running:             int(p.Running),
		Waiting:             int(p.Waiting),
		QueuedPrefillTokens: int(p.QueuedPrefillTokens),
	}
}
