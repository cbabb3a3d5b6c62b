package config

import (
	"bytes"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

// InvalidError lists the problems of an invalid document.
type InvalidError struct{ Problems []Problem }

// Error returns the problems, one per line.
func (e *InvalidError) Error() string {
	var buf bytes.Buffer
	buf.WriteString("the document is refused:")
	for _, p := range e.Problems {
		buf.WriteString("\n  " + p.String())
	}
	return buf.String()
}

// Parse decodes and validates a document. The error lists every problem found.
func Parse(data []byte) (*Document, error) {
	f, err := ParseDocumentFile(data)
	if err != nil {
		return nil, err
	}
	d, problems := f.Document()
	if len(problems) > 0 {
		return nil, &InvalidError{problems}
	}
	return d, nil
}

// LoadFile reads and validates the document in the named file. It returns nil
// if name is empty.
func LoadFile(name string) (*Document, error) {
	if name == "" {
		return nil, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	d, err := Parse(data)
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return d, err
}
