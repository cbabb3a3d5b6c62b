package httpconn

// giveUpSocket closes a socket that carries no request: that of the connection that has lingered
// longest, or whose place was offered first, or else an idle one to a target if these are limited. It reports false if there is
// none. The caller must hold mu, which is released meanwhile.
func (b *Budget) giveUpSocket() bool {
	if b.lingering.Len() > 0 {
		oldest := b.lingering.Front().Value.(*account)
		b.stopLingering(oldest)
		b.mu.Unlock()
		defer b.mu.Lock()
		oldest.finish()
		return true
	}
	if b.maxSockets <= 0 || b.sockets() < b.maxSockets {
		return false
	}
	b.mu.Unlock()
	defer b.mu.Lock()
	return b.closeIdle()
}

// sockets returns the number of open sockets. The caller must hold mu.
func (b *Budget) sockets() int { return len(b.accounts) - b.closedSockets + b.outgoing }

// LimitSockets limits the connections of clients and those to targets together. closeIdle
// closes the connection to a target that has been idle longest, and reports false if there is
// none. It is called before the Budget is used.
func (b *Budget) LimitSockets(n int, closeIdle func() bool) {
	b.maxSockets, b.closeIdle = n, closeIdle
}

// Acquire takes the descriptor of a connection to a target. It reports false if none is free.
func (b *Budget) Acquire() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.maxSockets > 0 && b.sockets() >= b.maxSockets {
		if !b.giveUpSocket() {
			return false
		}
	}
	b.outgoing++
	return true
}

// Release returns the descriptor of a connection to a target that is closed.
func (b *Budget) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outgoing--
	b.placeFreed.Broadcast()
}

// TargetConnections returns the number of open connections to targets.
func (b *Budget) TargetConnections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outgoing
}
