// Package gossip carries membership messages over UDP.
package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/target"
	gossipv1 "github.com/cuminwing/cuminwing/proto/gossip/v1"
)

// formatVersion is the first byte of each packet.
const formatVersion = 1

const prefixBytes = 1 + sha256.Size

// Errors of Decode.
var (
	ErrFormat        = errors.New("gossip: packet has another format version")
	ErrUnauthentic   = errors.New("gossip: packet does not carry the shared secret's authentication code")
	errPacketTooLong = errors.New("gossip: packet exceeds the size limit")
)

// Encode builds the packet of a message.
func Encode(secret []byte, m *membership.Message) ([]byte, error) {
	buf := make([]byte, prefixBytes, membership.MaxPacketBytes)
	buf[0] = formatVersion
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, toProto(m))
	if err != nil {
		return nil, fmt.Errorf("encode gossip message: %w", err)
	}
	if len(buf) > membership.MaxPacketBytes {
		return nil, errPacketTooLong
	}
	copy(buf[1:], authenticate(secret, buf))
	return buf, nil
}

// Decode checks a packet and returns its message.
func Decode(secret, packet []byte) (membership.Message, error) {
	if len(packet) < prefixBytes || packet[0] != formatVersion {
		return membership.Message{}, ErrFormat
	}
	if !hmac.Equal(packet[1:prefixBytes], authenticate(secret, packet)) {
		return membership.Message{}, ErrUnauthentic
	}
	var m gossipv1.Message
	if err := proto.Unmarshal(packet[prefixBytes:], &m); err != nil {
		return membership.Message{}, fmt.Errorf("decode gossip message: %w", err)
	}
	return fromProto(&m), nil
}

func authenticate(secret, packet []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(packet[:1])
	mac.Write(packet[prefixBytes:])
	return mac.Sum(nil)
}

func toProto(m *membership.Message) *gossipv1.Message {
	p := &gossipv1.Message{
		Kind:        uint32(m.Kind),
		From:        m.From,
		Incarnation: m.Incarnation,
		Zone:        m.Zone,
		Sequence:    m.Sequence,
		Subject:     m.Subject,
		Zones:       m.Zones,
		PullBack:    m.PullBack,
	}
	for i := range m.Updates {
		p.Updates = append(p.Updates, updateToProto(&m.Updates[i]))
	}
	for i := range m.Targets {
		p.Targets = append(p.Targets, targetToProto(&m.Targets[i]))
	}
	for _, b := range m.Beats {
		p.Beats = append(p.Beats, &gossipv1.Beat{Key: b.Key, Sequence: b.Sequence, AgeMs: toMS(b.Age), Load: loadToProto(b.Load)})
	}
	for i := range m.Digests {
		p.Digests = append(p.Digests, digestToProto(&m.Digests[i]))
	}
	for _, d := range m.Drains {
		p.Drains = append(p.Drains, &gossipv1.Drain{Id: d.ID, Version: d.Version, Drained: d.Drained})
	}
	return p
}

func fromProto(p *gossipv1.Message) membership.Message {
	m := membership.Message{
		Kind:        membership.Kind(p.Kind),
		From:        p.From,
		Incarnation: p.Incarnation,
		Zone:        p.Zone,
		Sequence:    p.Sequence,
		Subject:     p.Subject,
		Zones:       p.Zones,
		PullBack:    p.PullBack,
	}
	for _, u := range p.Updates {
		m.Updates = append(m.Updates, updateFromProto(u))
	}
	for _, t := range p.Targets {
		m.Targets = append(m.Targets, targetFromProto(t))
	}
	for _, b := range p.Beats {
		beat := target.Beat{Key: b.Key, Sequence: b.Sequence, Load: loadFromProto(b.Load)}
		m.Beats = append(m.Beats, membership.BeatUpdate{Beat: beat, Age: fromMS(b.AgeMs)})
	}
	for _, d := range p.Digests {
		m.Digests = append(m.Digests, digestFromProto(d))
	}
	for _, d := range p.Drains {
		m.Drains = append(m.Drains, target.Drain{ID: d.Id, Version: d.Version, Drained: d.Drained})
	}
	return m
}

func toMS(d time.Duration) uint32 { return uint32(d.Milliseconds()) }

func fromMS(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
