package edge

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// maxStateBytes limits the document and the registry that a front decompresses.
const maxStateBytes = 64 << 20

var errStateTooLarge = errors.Newf("the state from the core exceeds %d bytes", maxStateBytes)

// encodedState holds the encoded changes of the registry since earlier revisions.
// Most fronts of a member have the same revision, so each change is encoded and
// compressed once.
type encodedState struct {
	mu           sync.Mutex
	revision     uint64
	deltaBySince map[uint64][]byte
	// encodings counts the encoded deltas.
	encodings int
}

// delta returns the encoded changes of the registry after a revision.
func (e *encodedState) delta(registry *fleet.Registry, since uint64) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision, _ := registry.Versions(); e.revision != revision || e.deltaBySince == nil {
		e.revision, e.deltaBySince = revision, make(map[uint64][]byte)
	}
	if data, ok := e.deltaBySince[since]; ok {
		return data, nil
	}
	// The delta may be newer than e.revision, which does no harm.
	data, err := json.Marshal(registry.DeltaSince(since))
	if err == nil {
		data, err = compress(data)
	}
	if err != nil {
		return nil, err
	}
	e.encodings++
	e.deltaBySince[since] = data
	return data, nil
}

// rawDocument returns a document as the operator sent it.
func rawDocument(stored gatewayconfig.StoredDocument) ([]byte, error) {
	if !isCompressed(stored.Content) {
		return stored.Content, nil
	}
	return decompress(stored.Content)
}

// compressedDocument returns a document in compressed form.
func compressedDocument(stored gatewayconfig.StoredDocument) ([]byte, error) {
	if isCompressed(stored.Content) {
		return stored.Content, nil
	}
	return compress(stored.Content)
}

// gzipMagic begins compressed data.
var gzipMagic = []byte{0x1f, 0x8b}

// isCompressed reports whether a document was proposed in compressed form. Earlier
// versions proposed it as the operator sent it, which is JSON.
func isCompressed(content []byte) bool { return bytes.HasPrefix(content, gzipMagic) }

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decompress returns the content of data, which may have maxStateBytes at most.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err == nil && len(content) > maxStateBytes {
		err = errStateTooLarge
	}
	return content, err
}
