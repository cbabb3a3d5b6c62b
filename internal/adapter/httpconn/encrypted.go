package httpconn

import "time"

const (
	// recordHeaderBytes is the size of the header of a TLS record: type, version, length.
	recordHeaderBytes = 5
	// recordApplicationData is the type of the records that carry requests. Since TLS 1.3,
	// the end of a handshake has this type too, some hundred bytes.
	recordApplicationData = 23
	// encryptedByteCost is what a byte of an encrypted head is charged while it is read. It
	// may belong to the shortest lines.
	encryptedByteCost = 1 + headLineCost/minLineBytes
	// encryptedSlackBytes is added to the limit of encrypted heads: the end of the handshake,
	// and what the server reads behind a head, two records at most.
	encryptedSlackBytes = 40 << 10
	// http2ConnectionBytes is what a connection with HTTP/2 is charged: the data that the
	// server receives before a handler reads it (HTTP2ReceiveBytes), a frame, and the tables
	// of headers. The handler charges heads of its streams.
	http2ConnectionBytes = HTTP2ReceiveBytes + 64<<10
	// HTTP2ReceiveBytes is the size to which servers must set their receive buffer of a
	// connection with HTTP/2.
	HTTP2ReceiveBytes = 256 << 10
)

// recordCheck counts the application data of an encrypted connection. It reads the headers of
// records only.
type recordCheck struct {
	header [recordHeaderBytes]byte
	have   int
	left   int
}

// add counts bytes that were read. It returns how many of them are application data.
func (r *recordCheck) add(read []byte) (data int) {
	for len(read) > 0 {
		if r.left == 0 {
			n := copy(r.header[r.have:], read)
			r.have += n
			read = read[n:]
			if r.have == recordHeaderBytes {
				r.have, r.left = 0, int(r.header[3])<<8|int(r.header[4])
			}
			continue
		}
		n := min(r.left, len(read))
		if r.header[0] == recordApplicationData {
			data += n
		}
		r.left -= n
		read = read[n:]
	}
	return data
}

// acceptRecords checks and charges what was read of an encrypted connection. The end of a head
// is not seen, so all application data until the server reports a request is charged. It
// reports false if the connection has to end.
func (c *conn) acceptRecords(read []byte) bool {
	c.mu.Lock()
	data := c.records.add(read)
	if c.phase == phaseServed {
		c.mu.Unlock()
		return true
	}
	c.head.bytes += data
	if limit := c.head.limit; limit > 0 && c.head.bytes > limit+encryptedSlackBytes && !c.refused {
		// Without the keys of the connection, no response can be written.
		c.refused, c.cause = true, closedByHeadBytes
	}
	if c.refused {
		c.mu.Unlock()
		return false
	}
	c.mu.Unlock()
	if c.tracker.Budget.charge(c.account, int64(data)*encryptedByteCost) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
	return false
}

// releaseEncrypted leaves a connection to the server, unless that has been done. The server
// reports each first stream of a connection in the same way as its start.
func (c *conn) releaseEncrypted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return false
	}
	c.release()
	return true
}

// acceptHTTP2 charges a connection with HTTP/2 once, before its first stream. It reports false
// if there is no room.
func (c *conn) acceptHTTP2() bool {
	c.mu.Lock()
	first, refused := !c.http2Charged, c.refused
	c.http2Charged = true
	c.mu.Unlock()
	if !first || refused || c.tracker.Budget == nil {
		return !refused
	}
	// The time limits of the Tracker no longer apply.
	limit := time.AfterFunc(http2ChargeTime, func() { c.tracker.Budget.stopWaiting(c.account) })
	defer limit.Stop()
	if c.tracker.Budget.charge(c.account, http2ConnectionBytes) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused, c.cause = true, closedByBudget
	return false
}

// http2ChargeTime limits the wait of a connection with HTTP/2 for its memory.
const http2ChargeTime = 5 * time.Second
