package replica

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/raft"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

func encodeMessage(m *raft.Message) *raftv1.Message {
	out := &raftv1.Message{
		Kind: uint32(m.Kind), From: m.From, To: m.To, Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit,
		Reject: m.Reject, Hint: m.RejectHint, Sent: int64(m.SentAt), Round: m.ReadRound,
		Formed: m.Bootstrapped, Transfer: m.Transfer, Offset: m.Offset, Data: m.Data,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &raftv1.Entry{
			Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data,
		})
	}
	if m.Kind == raft.MsgSnapshot {
		out.Snapshot = &raftv1.Snapshot{
			Index: m.Snapshot.Index, Term: m.Snapshot.Term, Size: m.Snapshot.Size,
			Members: encodeMembers(m.Snapshot.Members),
		}
	}
	return out
}

func decodeMessage(m *raftv1.Message) raft.Message {
	out := raft.Message{
		Kind: raft.MessageKind(m.GetKind()), From: m.GetFrom(), To: m.GetTo(), Term: m.GetTerm(),
		Index: m.GetIndex(), LogTerm: m.GetLogTerm(), Commit: m.GetCommit(),
		Reject: m.GetReject(), RejectHint: m.GetHint(), SentAt: time.Duration(m.GetSent()), ReadRound: m.GetRound(),
		Bootstrapped: m.GetFormed(), Transfer: m.GetTransfer(), Offset: m.GetOffset(), Data: m.GetData(),
	}
	for _, e := range m.GetEntries() {
		out.Entries = append(out.Entries, raft.Entry{
			Index: e.GetIndex(), Term: e.GetTerm(), Kind: raft.EntryKind(e.GetKind()), Data: e.GetData(),
		})
	}
	if s := m.GetSnapshot(); s != nil {
		out.Snapshot = raft.SnapshotMeta{
			Index: s.GetIndex(), Term: s.GetTerm(), Size: s.GetSize(),
			Members: decodeMembers(s.GetMembers()),
		}
	}
	return out
}

func encodeMembers(m raft.Membership) []*raftv1.Member {
	var out []*raftv1.Member
	for _, member := range m {
		out = append(out, encodeMember(member))
	}
	return out
}

func encodeMember(m raft.Member) *raftv1.Member {
	return &raftv1.Member{Id: m.ID, Address: m.Address, Voter: m.Voter}
}

func decodeMembers(members []*raftv1.Member) raft.Membership {
	var out raft.Membership
	for _, m := range members {
		out = append(out, raft.Member{ID: m.GetId(), Address: m.GetAddress(), Voter: m.GetVoter()})
	}
	return out
}
