package httpconn

import (
	"bytes"
	"strings"
	"testing"
)

// checkInParts counts a head that is read in parts of the given sizes.
func checkInParts(head []byte, sizes []uint8) (check headCheck, cost int64) {
	check.limit = 1 << 10
	for i := 0; len(head) > 0; i++ {
		n := len(head)
		if i < len(sizes) {
			n = min(n, int(sizes[i])+1)
		}
		c, _ := check.add(head[:n])
		cost += c
		head = head[n:]
	}
	return check, cost
}

// Guards against a limit that depends on how the network has cut a head, and against a body
// that is counted as a part of the head.
func FuzzHeadCheck(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nA: b\r\n\r\nbody\nbody\n"), []byte{0, 3, 14, 15})
	f.Add([]byte("GET / HTTP/1.1\nA:\n\n\n"), []byte{18, 0})
	f.Add([]byte("\r\n\r\n"), []byte{0, 0, 0})
	f.Add([]byte("\r\r\n\r\nb"), []byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, head, sizes []byte) {
		whole, wholeCost := checkInParts(head, nil)
		parts, partsCost := checkInParts(head, sizes)
		if whole.bytes != parts.bytes || whole.lines != parts.lines || whole.ended != parts.ended || wholeCost != partsCost {
			t.Fatalf("%q in parts of %v: %+v costs %d; in one part: %+v costs %d", head, sizes, parts, partsCost, whole, wholeCost)
		}
		if whole.bytes > len(head) || whole.lines > bytes.Count(head, []byte{'\n'}) || !whole.ended && whole.bytes != len(head) {
			t.Fatalf("%q: %+v", head, whole)
		}
	})
}

// Guards against a limit on lines that refuses a head of legal size, and against limits
// that let heads above them pass.
func TestLimitsOfHeads(t *testing.T) {
	const limit = 16384
	for name, c := range map[string]struct {
		head string
		want headFault
	}{
		"shortest lines": {strings.Repeat("a:\r\n", limit/4), headLegal},
		"folded lines":   {"A: b\n" + strings.Repeat(" \n", limit/2-3), headLegal},
		"one line":       {strings.Repeat("a", limit), headLegal},
		"long line":      {strings.Repeat("a", limit+headSlackBytes+1), headTooLarge},
		"bare lines":     {strings.Repeat("a\n", (limit+headSlackBytes)/2), headTooManyLines},
		"long body":      {"GET / HTTP/1.1\r\n\r\n" + strings.Repeat("\n", 2*limit), headLegal},
	} {
		check := headCheck{limit: limit}
		if _, fault := check.add([]byte(c.head)); fault != c.want {
			t.Errorf("%s: fault %d, want %d", name, fault, c.want)
		}
	}
}
