package callerhttp

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/keys"
)

// minKeyBytes is the length below which a word is not looked up as a key.
const minKeyBytes = 16

// credentialHeaders are dropped whatever they hold.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key"}

// scrubber removes caller keys from what is passed on. It knows the key that
// was presented and every other key of the document that it comes across.
type scrubber struct {
	snap *config.Snapshot
	keys []string
}

func newScrubber(snap *config.Snapshot, r *http.Request) *scrubber {
	s := &scrubber{snap: snap}
	if key := bearer(r.Header); key != "" {
		s.keys = append(s.keys, key)
	}
	for _, values := range r.Header {
		for _, v := range values {
			s.collect(v)
		}
	}
	s.collect(r.URL.RawQuery)
	s.collect(r.URL.EscapedPath())
	return s
}

// collect learns the keys of the document that text holds, also in one layer
// of percent, base64 or hexadecimal encoding.
func (s *scrubber) collect(text string) {
	for _, form := range decodedForms(text) {
		for _, word := range strings.FieldsFunc(form, isSeparator) {
			if len(word) < minKeyBytes {
				continue
			}
			if _, known := s.snap.Owner(keys.Sum(word)); known {
				s.keys = append(s.keys, word)
			}
		}
	}
}

// isSeparator reports whether c cannot be part of a key of "keys new".
func isSeparator(c rune) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '-', c == '_':
		return false
	}
	return true
}

// decodedForms returns text and what it decodes to.
func decodedForms(text string) []string {
	forms := []string{text}
	if plain, err := url.QueryUnescape(text); err == nil && plain != text {
		forms = append(forms, plain)
	}
	for _, word := range strings.FieldsFunc(text, func(c rune) bool { return strings.ContainsRune(" \t,;=\"&", c) }) {
		if len(word) < minKeyBytes {
			continue
		}
		trimmed := strings.TrimRight(word, "=")
		if plain, err := base64.RawStdEncoding.DecodeString(trimmed); err == nil {
			forms = append(forms, string(plain))
		}
		if plain, err := base64.RawURLEncoding.DecodeString(trimmed); err == nil {
			forms = append(forms, string(plain))
		}
		if plain, err := hex.DecodeString(word); err == nil {
			forms = append(forms, string(plain))
		}
	}
	return forms
}

// holdsKey reports whether text holds a known key.
func (s *scrubber) holdsKey(text string) bool {
	if len(s.keys) == 0 {
		return false
	}
	for _, form := range decodedForms(text) {
		for _, key := range s.keys {
			// Header names arrive in canonical case.
			if strings.Contains(form, key) || strings.Contains(form, textproto.CanonicalMIMEHeaderKey(key)) {
				return true
			}
		}
	}
	return false
}

// header returns a copy of in without credentials and keys.
func (s *scrubber) header(in http.Header) http.Header {
	out := in.Clone()
	for _, name := range credentialHeaders {
		out.Del(name)
	}
	for name, values := range out {
		if s.holdsKey(name) {
			delete(out, name)
			continue
		}
		if name == "Cookie" {
			continue
		}
		kept := values[:0]
		for _, v := range values {
			if !s.holdsKey(v) {
				kept = append(kept, v)
			}
		}
		if out[name] = kept; len(kept) == 0 {
			delete(out, name)
		}
	}
	s.cookies(out)
	return out
}

func (s *scrubber) cookies(header http.Header) {
	var kept []string
	for _, line := range header.Values("Cookie") {
		for _, pair := range strings.Split(line, ";") {
			if pair = strings.TrimSpace(pair); pair != "" && !s.holdsKey(pair) {
				kept = append(kept, pair)
			}
		}
	}
	header.Del("Cookie")
	if len(kept) > 0 {
		header.Set("Cookie", strings.Join(kept, "; "))
	}
}

// query removes the parameters that hold a key and leaves the others as they
// were written.
func (s *scrubber) query(raw string) string {
	var kept []string
	for _, pair := range strings.Split(raw, "&") {
		if !s.holdsKey(pair) {
			kept = append(kept, pair)
		}
	}
	return strings.Join(kept, "&")
}

// inBody reports whether data holds the presented key or a key that "keys new"
// made for any workspace.
func (s *scrubber) inBody(data []byte) bool {
	for _, key := range s.keys {
		if bytes.Contains(data, []byte(key)) {
			return true
		}
	}
	for {
		start := bytes.Index(data, []byte(keys.Prefix))
		if start < 0 {
			return false
		}
		data = data[start:]
		if s.startsWithKey(data) {
			return true
		}
		data = data[len(keys.Prefix):]
	}
}

func (s *scrubber) startsWithKey(data []byte) bool {
	word := data[:min(len(data), longestKey)]
	if end := bytes.IndexFunc(word, isSeparator); end >= 0 {
		word = word[:end]
	}
	if len(word) < keys.Length {
		return false
	}
	// Other characters may follow without a separator.
	_, exact := s.snap.Owner(keys.Sum(string(word[:keys.Length])))
	_, whole := s.snap.Owner(keys.Sum(string(word)))
	return exact || whole
}

// longestKey bounds the keys that are looked for in bodies.
const longestKey = 128

var errKeyInStream = errors.New("the body contains the caller key")

// guard returns a reader that ends with an error before it passes on a key.
func (s *scrubber) guard(in io.Reader) io.Reader {
	hold := longestKey
	for _, key := range s.keys {
		hold = max(hold, len(key))
	}
	return &guardedReader{scrubber: s, in: in, hold: hold}
}

// guardedReader holds back as many bytes as an unfinished key may have.
type guardedReader struct {
	scrubber *scrubber
	in       io.Reader
	hold     int
	buf      []byte
	err      error
}

const guardBufferBytes = 16 << 10

// Read implements io.Reader.
func (g *guardedReader) Read(p []byte) (int, error) {
	for g.err == nil && len(g.buf) <= g.hold {
		g.fill()
	}
	ready := len(g.buf) - g.hold
	if g.err != nil {
		ready = len(g.buf)
	}
	if g.err == errKeyInStream || ready <= 0 {
		return 0, g.err
	}
	n := copy(p, g.buf[:ready])
	g.buf = append(g.buf[:0], g.buf[n:]...)
	return n, nil
}

func (g *guardedReader) fill() {
	var part [guardBufferBytes]byte
	n, err := g.in.Read(part[:])
	g.buf = append(g.buf, part[:n]...)
	g.err = err
	if g.scrubber.inBody(g.buf) {
		g.err = errKeyInStream
	}
}
