package disk

import (
	"fmt"
	"testing"

	"github.com/klauspost/reedsolomon"

	"github.com/cuminwing/cuminwing/internal/raft"
)

// codeConfigs lists the numbers of voters and data shards to compare.
var codeConfigs = []struct{ voters, data int }{{3, 2}, {5, 2}, {5, 3}}

var entrySizes = []int{200, 1 << 10, 4 << 10, 16 << 10, 64 << 10}

// BenchmarkErasure measures the cost that erasure-coded replication would add
// per entry: encoding it on the leader, and reconstructing it after the first
// data shards are lost. The metrics compare the bytes that a leader sends with
// coding (coded-B) and with full copies (copied-B).
func BenchmarkErasure(b *testing.B) {
	for _, config := range codeConfigs {
		for _, size := range entrySizes {
			name := fmt.Sprintf("voters=%d/data=%d/size=%d", config.voters, config.data, size)
			b.Run("encode/"+name, func(b *testing.B) { benchmarkEncode(b, config.voters, config.data, size) })
			b.Run("rebuild/"+name, func(b *testing.B) { benchmarkRebuild(b, config.voters, config.data, size) })
		}
	}
}

func benchmarkEncode(b *testing.B, voters, data, size int) {
	encoder := newEncoder(b, voters, data)
	entry := make([]byte, size)
	for b.Loop() {
		encodeEntry(b, encoder, entry)
	}
	// A full copy carries the position and kind of the entry. A shard carries
	// the shard number and the size of the entry as well.
	shardBytes := (size + data - 1) / data
	b.ReportMetric(float64((voters-1)*(shardBytes+shardOverhead)), "coded-B")
	b.ReportMetric(float64((voters-1)*(size+entryOverhead)), "copied-B")
}

const (
	entryOverhead = 12
	shardOverhead = entryOverhead + 4
)

func newEncoder(b *testing.B, voters, data int) reedsolomon.Encoder {
	encoder, err := reedsolomon.New(data, voters-data)
	if err != nil {
		b.Fatal(err)
	}
	return encoder
}

func encodeEntry(b *testing.B, encoder reedsolomon.Encoder, entry []byte) [][]byte {
	shards, err := encoder.Split(entry)
	if err == nil {
		err = encoder.Encode(shards)
	}
	if err != nil {
		b.Fatal(err)
	}
	return shards
}

func benchmarkRebuild(b *testing.B, voters, data, size int) {
	encoder := newEncoder(b, voters, data)
	shards := encodeEntry(b, encoder, make([]byte, size))
	for b.Loop() {
		for i := range voters - data {
			shards[i] = shards[i][:0]
		}
		if err := encoder.ReconstructData(shards); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSave measures a synced write of a full entry (data=1) and of one of
// its shards (data>1).
func BenchmarkSave(b *testing.B) {
	for _, size := range entrySizes {
		for _, data := range []int{1, 2, 3} {
			b.Run(fmt.Sprintf("size=%d/data=%d", size, data), func(b *testing.B) {
				s, _, _, err := Open(b.TempDir(), Options{})
				if err != nil {
					b.Fatal(err)
				}
				defer func() { _ = s.Close() }()
				shard := make([]byte, (size+data-1)/data)
				index := uint64(0)
				for b.Loop() {
					index++
					ready := raft.Ready{Entries: []raft.Entry{{Index: index, Term: 1, Kind: raft.EntryCommand, Data: shard}}}
					if err := s.Save(&ready); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
