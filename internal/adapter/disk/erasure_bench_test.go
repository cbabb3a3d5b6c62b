package disk

import (
	"fmt"
	"testing"

	"github.com/klauspost/reedsolomon"

	"github.com/cuminwing/cuminwing/internal/raft"
)

// codeShapes are the voter sets and numbers of data blocks that are compared.
var codeShapes = []struct{ voters, data int }{{3, 2}, {5, 2}, {5, 3}}

var codeSizes = []int{200, 1 << 10, 4 << 10, 16 << 10, 64 << 10}

// BenchmarkErasure measures what erasure-coded replication would add for an
// entry: encoding at the leader, and rebuilding from the first data blocks
// lost. The metrics compare the bytes that a leader sends.
func BenchmarkErasure(b *testing.B) {
	for _, shape := range codeShapes {
		for _, size := range codeSizes {
			name := fmt.Sprintf("voters=%d/data=%d/size=%d", shape.voters, shape.data, size)
			b.Run("encode/"+name, func(b *testing.B) { encodeEntries(b, shape.voters, shape.data, size) })
			b.Run("rebuild/"+name, func(b *testing.B) { rebuildEntries(b, shape.voters, shape.data, size) })
		}
	}
}

func encodeEntries(b *testing.B, voters, data, size int) {
	code := newCode(b, voters, data)
	entry := make([]byte, size)
	for b.Loop() {
		encodeEntry(b, code, entry)
	}
	// Each block needs the position, the kind, the block number and the size
	// of the entry, as a full copy needs the position and the kind.
	block := (size + data - 1) / data
	b.ReportMetric(float64((voters-1)*(block+blockOverhead)), "coded-B")
	b.ReportMetric(float64((voters-1)*(size+entryOverhead)), "copied-B")
}

const (
	entryOverhead = 12
	blockOverhead = entryOverhead + 4
)

func newCode(b *testing.B, voters, data int) reedsolomon.Encoder {
	code, err := reedsolomon.New(data, voters-data)
	if err != nil {
		b.Fatal(err)
	}
	return code
}

func encodeEntry(b *testing.B, code reedsolomon.Encoder, entry []byte) [][]byte {
	blocks, err := code.Split(entry)
	if err == nil {
		err = code.Encode(blocks)
	}
	if err != nil {
		b.Fatal(err)
	}
	return blocks
}

func rebuildEntries(b *testing.B, voters, data, size int) {
	code := newCode(b, voters, data)
	blocks := encodeEntry(b, code, make([]byte, size))
	for b.Loop() {
		for i := range voters - data {
			blocks[i] = blocks[i][:0]
		}
		if err := code.ReconstructData(blocks); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSave measures a synced write of one entry, whole and as a block.
func BenchmarkSave(b *testing.B) {
	for _, size := range codeSizes {
		for _, data := range []int{1, 2, 3} {
			b.Run(fmt.Sprintf("size=%d/data=%d", size, data), func(b *testing.B) {
				s, _, _, err := Open(b.TempDir(), Options{})
				if err != nil {
					b.Fatal(err)
				}
				defer func() { _ = s.Close() }()
				body := make([]byte, (size+data-1)/data)
				index := uint64(0)
				for b.Loop() {
					index++
					ready := raft.Ready{Entries: []raft.Entry{{Index: index, Term: 1, Kind: raft.EntryCommand, Data: body}}}
					if err := s.Save(&ready); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
