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

// A record is a header followed by a body. The header holds the length of the
// body, the CRC-32C of the body, the number of the record, and the CRC-32C of
// these three fields. One record holds all data of one Save, so only the last
// record can be torn by a crash.
const (
	recordHeaderBytes = 4 + 4 + 8 + 4
	maxRecordBytes    = 1 << 30
)

// record is the content of one Save.
type record struct {
	hardState *raft.HardState
	// reset is true if a snapshot has replaced all earlier entries.
	reset   bool
	entries []raft.Entry
}

// Flags at the start of a record body.
const (
	flagHardState = 1 << iota
	flagReset
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
	if r.hardState != nil {
		flags |= flagHardState
	}
	if r.reset {
		flags |= flagReset
	}
	buf = protowire.AppendVarint(buf, flags)
	if r.hardState != nil {
		buf = protowire.AppendVarint(buf, r.hardState.Term)
		buf = protowire.AppendString(buf, r.hardState.Vote)
	}
	for _, e := range r.entries {
		buf = protowire.AppendVarint(buf, e.Index)
		buf = protowire.AppendVarint(buf, e.Term)
		buf = protowire.AppendVarint(buf, uint64(e.Kind))
		buf = protowire.AppendBytes(buf, e.Data)
	}
	return buf
}

var errMalformedBody = errors.New("record body is malformed")

// fieldReader decodes consecutive fields. After the first malformed field, err
// is set and all further fields are zero.
type fieldReader struct {
	data []byte
	err  error
}

func (p *fieldReader) varint() uint64 {
	v, n := protowire.ConsumeVarint(p.data)
	p.advance(n)
	return v
}

func (p *fieldReader) bytes() []byte {
	v, n := protowire.ConsumeBytes(p.data)
	p.advance(n)
	return v
}

func (p *fieldReader) advance(n int) {
	if n < 0 {
		p.err = errMalformedBody
		p.data = nil
		return
	}
	p.data = p.data[n:]
}

func decodeBody(body []byte) (record, error) {
	var r record
	p := &fieldReader{data: body}
	flags := p.varint()
	if flags&^(flagHardState|flagReset) != 0 {
		return r, fmt.Errorf("record body has unknown flags %#x", flags)
	}
	if flags&flagHardState != 0 {
		r.hardState = &raft.HardState{Term: p.varint(), Vote: string(p.bytes())}
	}
	r.reset = flags&flagReset != 0
	for len(p.data) > 0 {
		e := raft.Entry{Index: p.varint(), Term: p.varint(), Kind: raft.EntryKind(p.varint())}
		e.Data = p.bytes()
		r.entries = append(r.entries, e)
	}
	return r, p.err
}

// readRecord returns the body and number of the record at the start of data. It
// reports false if that record is incomplete or damaged.
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

// containsLaterRecord reports whether data contains the header of a record with
// a number greater than expected.
func containsLaterRecord(data []byte, expected uint64) bool {
	for ; len(data) >= recordHeaderBytes; data = data[1:] {
		if _, number, ok := readHeader(data); ok && number > expected {
			return true
		}
	}
	return false
}
