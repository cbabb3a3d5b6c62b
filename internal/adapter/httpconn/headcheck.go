package httpconn

import "bytes"

const (
	// headSlackBytes is added to the limit of heads, as net/http does: spaces around values
	// do not count against the limit that the handler checks.
	headSlackBytes = 4 << 10
	// minFoldedLineBytes is the size of the shortest line of a head, a space that continues the
	// line before and a line feed. The limit on lines is the limit on bytes divided by it, so
	// it refuses no head of legal size.
	minFoldedLineBytes = 2
	// minLineBytes is the size of the shortest header line that ends as it should: a name of
	// one byte, a colon, a carriage return and a line feed.
	minLineBytes = 4
	// headLineCost is what a header line costs besides its bytes: its entry in the map of
	// headers while that grows, its value, and its copy in the request to a target. It is
	// above 105 bytes, the cost of a parsed line measured with heads of 16,200 bytes.
	headLineCost = 256
)

// headFault is why a head is refused.
type headFault uint8

const (
	headLegal headFault = iota
	// headTooLarge means that the head has more bytes than the limit.
	headTooLarge
	// headTooManyLines means that it has more lines than a head of legal size can have.
	headTooManyLines
)

// headCheck counts the bytes and lines of the head of a request before it is parsed. The
// first bytes of a head that the server has read with the previous request are not seen, at
// most one of its read buffers.
type headCheck struct {
	// limit is the number of bytes that the head may have; 0 is no limit.
	limit int
	bytes int
	lines int
	// lineBytes is the number of bytes of the unfinished line, not counting line ends.
	lineBytes int
	// pendingReturn is set if a carriage return ends what was read.
	pendingReturn bool
	// begun is set by the first byte that ends no line. The server skips empty lines before
	// the request line.
	begun bool
	// request is set if that byte can begin a request line; a TLS record does not.
	request bool
	// ended is set by an empty line after that. skipped is what was read behind it.
	ended        bool
	skipped      int
	skippedLines int
}

// reopen takes back the end of the head, because the server reads on for it: it had a part of
// the head before, or has skipped what was taken for the request line. It returns what the
// bytes cost that were taken for those of a body.
func (h *headCheck) reopen() (cost int64) {
	if !h.ended {
		return 0
	}
	cost = int64(h.skipped) + headLineCost*int64(h.skippedLines)
	h.bytes += h.skipped
	h.lines += h.skippedLines
	h.ended, h.skipped, h.skippedLines = false, 0, 0
	return cost
}

// add counts bytes that were read. It returns what the part that belongs to the head costs.
func (h *headCheck) add(read []byte) (cost int64, fault headFault) {
	for len(read) > 0 && !h.ended {
		line, rest, complete := bytes.Cut(read, []byte{'\n'})
		used := len(read) - len(rest)
		h.bytes += used
		cost += int64(used)
		if h.pendingReturn && len(line) > 0 {
			h.lineBytes++
			h.pendingReturn = false
		}
		// A carriage return belongs to the end of the line if a line feed follows.
		content := bytes.TrimSuffix(line, []byte{'\r'})
		if start := bytes.TrimLeft(content, "\r"); !h.begun && len(start) > 0 {
			h.begun, h.request = true, start[0] > ' '
		}
		h.lineBytes += len(content)
		h.pendingReturn = !complete && (h.pendingReturn || len(content) < len(line))
		read = rest
		if !complete {
			break
		}
		h.lines++
		cost += headLineCost
		h.ended = h.begun && h.lineBytes == 0
		h.lineBytes = 0
	}
	if h.ended {
		h.skipped += len(read)
		h.skippedLines += bytes.Count(read, []byte{'\n'})
	}
	return cost, h.fault()
}

func (h *headCheck) fault() headFault {
	switch {
	case h.limit <= 0:
		return headLegal
	case h.bytes > h.limit+headSlackBytes:
		return headTooLarge
	case h.lines > h.limit/minFoldedLineBytes:
		return headTooManyLines
	}
	return headLegal
}
