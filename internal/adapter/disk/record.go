package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cuminwing/cuminwing/internal/raft"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// A record is a header and a body. The header is the length of the body, its
// CRC-32C and the number of the record, followed by the CRC-32C of these
// fields. One record holds everything of one Save, so that a write that a
// crash tore can only be the last record.
const (
	recordHeaderBytes = 4 + 4 + 8 + 4
	maxRecordBytes    = 1 << 30
)

// record is the content of one Save.
type record struct {
	state *raft.HardState
	// reset is set if a snapshot replaced all earlier entries.
	reset   bool
	entries []raft.Entry
}

// Flags of a record body.
const (
	hasState = 1 << iota
	hasReset
)

func appendRecord(buf []byte, number uint64, r record) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, recordHeaderBytes)...)
	buf = appendBody(buf, r)
	header := buf[start : start+recordHeaderBytes]
	body := buf[start+recordHeaderBytes:]
	binary.LittleEndian.PutUint32(header, uint32(len(body)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint64(header[8:], number)
	binary.LittleEndian.PutUint32(header[16:], crc32.Checksum(header[:16], castagnoli))
	return buf
}

func appendBody(buf []byte, r record) []byte {
	flags := uint64(0)
	if r.state != nil {
		flags |= hasState
	}
	if r.reset {
		flags |= hasReset
	}
	buf = protowire.AppendVarint(buf, flags)
	if r.state != nil {
		buf = protowire.AppendVarint(buf, r.state.Term)
		buf = protowire.AppendString(buf, r.state.Vote)
	}
	for _, e := range r.entries {
		buf = protowire.AppendVarint(buf, e.Index)
		buf = protowire.AppendVarint(buf, e.Term)
		buf = protowire.AppendVarint(buf, uint64(e.Kind))
		buf = protowire.AppendBytes(buf, e.Data)
	}
	return buf
}

var errBody = errors.New("record body is damaged")

// parser reads fields until the first damage.
type parser struct {
	data []byte
	err  error
}

func (p *parser) varint() uint64 {
	v, n := protowire.ConsumeVarint(p.data)
	p.skip(n)
	return v
}

func (p *parser) bytes() []byte {
	v, n := protowire.ConsumeBytes(p.data)
	p.skip(n)
	return v
}

func (p *parser) skip(n int) {
	if n < 0 {
		p.err = errBody
		p.data = nil
		return
	}
	p.data = p.data[n:]
}

func parseBody(body []byte) (record, error) {
	var r record
	p := &parser{data: body}
	flags := p.varint()
	if flags&^(hasState|hasReset) != 0 {
		return r, fmt.Errorf("record has unknown flags %#x", flags)
	}
	if flags&hasState != 0 {
		r.state = &raft.HardState{Term: p.varint(), Vote: string(p.bytes())}
	}
	r.reset = flags&hasReset != 0
	for len(p.data) > 0 {
		e := raft.Entry{Index: p.varint(), Term: p.varint(), Kind: raft.EntryKind(p.varint())}
		e.Data = p.bytes()
		r.entries = append(r.entries, e)
	}
	return r, p.err
}

// readRecord returns the body of the record at the start of data, and false
// if there is no whole and undamaged one.
func readRecord(data []byte) (body []byte, number uint64, ok bool) {
	size, number, ok := readHeader(data)
	if !ok || uint64(len(data)) < recordHeaderBytes+size {
		return nil, 0, false
	}
	body = data[recordHeaderBytes : recordHeaderBytes+size]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	return body, number, true
}

func readHeader(data []byte) (size, number uint64, ok bool) {
	if len(data) < recordHeaderBytes {
		return 0, 0, false
	}
	if crc32.Checksum(data[:16], castagnoli) != binary.LittleEndian.Uint32(data[16:]) {
		return 0, 0, false
	}
	size = uint64(binary.LittleEndian.Uint32(data))
	return size, binary.LittleEndian.Uint64(data[8:]), size <= maxRecordBytes
}

// laterRecord reports whether data holds the header of a record that was
// written after the one numbered expected.
func laterRecord(data []byte, expected uint64) bool {
	for ; len(data) >= recordHeaderBytes; data = data[1:] {
		if _, number, ok := readHeader(data); ok && number > expected {
			return true
		}
	}
	return false
}
