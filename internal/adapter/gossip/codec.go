// Package gossip sends and receives membership messages over UDP.
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

const headerBytes = 1 + sha256.Size

// ErrUnsupportedFormat and ErrAuthentication are returned by Decode.
var (
	ErrUnsupportedFormat = errors.New("gossip: packet is too short or has an unsupported format version")
	ErrAuthentication    = errors.New("gossip: packet authentication failed: message modified or sent with another shared secret")
	errPacketTooLong     = errors.New("gossip: encoded message exceeds the maximum packet size")
)

// Encode encodes a message and authenticates it with secret.
func Encode(secret []byte, m *membership.Message) ([]byte, error) {
	buf := make([]byte, headerBytes, membership.MaxPacketBytes)
	buf[0] = formatVersion
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, toProto(m))
	if err != nil {
		return nil, fmt.Errorf("encode gossip message: %w", err)
	}
	if len(buf) > membership.MaxPacketBytes {
		return nil, errPacketTooLong
	}
	copy(buf[1:], packetMAC(secret, buf))
	return buf, nil
}

// Decode verifies the format version and authentication code of a packet and
// returns its message.
func Decode(secret, packet []byte) (membership.Message, error) {
	if len(packet) < headerBytes || packet[0] != formatVersion {
		return membership.Message{}, ErrUnsupportedFormat
	}
	if !hmac.Equal(packet[1:headerBytes], packetMAC(secret, packet)) {
		return membership.Message{}, ErrAuthentication
	}
	var m gossipv1.Message
	if err := proto.Unmarshal(packet[headerBytes:], &m); err != nil {
		return membership.Message{}, fmt.Errorf("decode gossip message: %w", err)
	}
	return fromProto(&m), nil
}

func packetMAC(secret, packet []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(packet[:1])
	mac.Write(packet[headerBytes:])
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
		PullBack:    m.SyncBack,
	}
	for i := range m.Updates {
		p.Updates = append(p.Updates, updateToProto(&m.Updates[i]))
	}
	for i := range m.Targets {
		p.Targets = append(p.Targets, targetToProto(&m.Targets[i]))
	}
	for _, b := range m.Heartbeats {
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
		SyncBack:    p.PullBack,
	}
	for _, u := range p.Updates {
		m.Updates = append(m.Updates, updateFromProto(u))
	}
	for _, t := range p.Targets {
		m.Targets = append(m.Targets, targetFromProto(t))
	}
	for _, b := range p.Beats {
		heartbeat := target.Heartbeat{Key: b.Key, Sequence: b.Sequence, Load: loadFromProto(b.Load)}
		m.Heartbeats = append(m.Heartbeats, membership.HeartbeatUpdate{Heartbeat: heartbeat, Age: fromMS(b.AgeMs)})
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
