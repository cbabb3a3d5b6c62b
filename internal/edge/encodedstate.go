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

// encodedState holds the encoded document and the encoded changes of the registry
// since earlier revisions. Most fronts of a member have the same versions, so each
// change is encoded and compressed once.
type encodedState struct {
	mu              sync.Mutex
	documentVersion uint64
	documentData    []byte
	revision        uint64
	deltaBySince    map[uint64][]byte
	// encodings counts the encoded deltas.
	encodings int
}

// document returns the encoded document.
func (e *encodedState) document(stored gatewayconfig.StoredDocument) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.documentVersion == stored.Version && e.documentData != nil {
		return e.documentData, nil
	}
	data, err := compress(stored.Raw)
	if err != nil {
		return nil, err
	}
	e.documentVersion, e.documentData = stored.Version, data
	return data, nil
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
