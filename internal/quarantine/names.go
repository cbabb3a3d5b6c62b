package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
	"unicode/utf8"
)

// MaxNameBytes limits the names of parts in the evidence and in the quarantine.
const MaxNameBytes = 32

// digestPrefix distinguishes the digest of a name from a name, which contains no colon.
// nameDigestBytes is the length of the digest.
const (
	digestPrefix    = "part:"
	nameDigestBytes = 16
)

// partID returns what identifies a part as evidence, given its name, which callers choose. It is
// the name, or a digest if the name is long or cannot be part of a report.
func partID(name string) string {
	if isPlainName(name) {
		return name
	}
	sum := sha256.Sum256([]byte(name))
	return digestPrefix + base64.RawURLEncoding.EncodeToString(sum[:nameDigestBytes])
}

// ReportedID returns the ID of a suspect that a front has reported or a leader has recorded.
// Those of the version before use the names of parts of up to 256 bytes.
func ReportedID(id string) string {
	if IsRequestKey(id) || isPartDigest(id) {
		return id
	}
	return partID(id)
}

func isPartDigest(id string) bool {
	return strings.HasPrefix(id, digestPrefix) && len(id) == len(digestPrefix)+base64.RawURLEncoding.EncodedLen(nameDigestBytes)
}

// isPlainName reports whether a name identifies its part in the evidence.
func isPlainName(name string) bool {
	return name != "" && len(name) <= MaxNameBytes && utf8.ValidString(name) && !strings.Contains(name, ":")
}
