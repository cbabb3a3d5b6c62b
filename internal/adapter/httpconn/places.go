package httpconn

import "time"

// placeWaitTime limits the wait of a new connection for the end of those that were told to
// end for it. Meanwhile its listener accepts no other connection. It exceeds the time for which
// http.Server keeps a connection whose body it has not read.
const placeWaitTime = 700 * time.Millisecond

// open adds the account of a new connection. It makes room for it and waits for that. It
// reports false if there is none; ended is the number of connections that were told to end.
// From then on, the connection may be told to end at any time.
func (b *Budget) open(a *account) (opened bool, ended int) {
	if b == nil {
		return true, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	opened, ended = b.makeRoom()
	if opened {
		b.add(a)
	}
	return opened, ended
}

// add adds an account. The caller must hold mu.
func (b *Budget) add(a *account) {
	a.address = b.addresses[a.host]
	if a.address == nil {
		a.address = &addressUse{}
		b.addresses[a.host] = a.address
	}
	a.address.connections++
	b.accounts[a] = struct{}{}
}

// makeRoom waits until there is a place for one more connection of a client. It gives up
// sockets that carry no request for it, and tells the slowest connections to end. It reports
// false if there are none. The caller must hold mu, which is released meanwhile.
func (b *Budget) makeRoom() (found bool, ended int) {
	var deadline time.Time
	for {
		wanted, most, limited := b.connectionLimits()
		if !limited || len(b.accounts) < wanted {
			return true, ended
		}
		if len(b.accounts)-b.closedSockets >= most && b.giveUpSocket() {
			continue
		}
		if len(b.accounts)-b.lingering.Len()-b.endingConnections >= wanted {
			ended += b.endSlowest(freedConnections(wanted))
		}
		if len(b.accounts) < most {
			return true, ended
		}
		if deadline.IsZero() {
			deadline = time.Now().Add(placeWaitTime)
			timer := time.AfterFunc(placeWaitTime, b.wakeNewConnections)
			defer timer.Stop()
		}
		if b.endingConnections == 0 || !time.Now().Before(deadline) {
			return false, ended
		}
		b.placeFreed.Wait()
	}
}

// connectionLimits returns the limits of connections of clients: the number from which on some
// are told to end for a new one, and the number that is not exceeded while they end. The caller
// must hold mu.
func (b *Budget) connectionLimits() (wanted, most int, limited bool) {
	if b.maxConnections <= 0 {
		return 0, 0, false
	}
	wanted, most = b.maxConnections, b.maxConnections+freedConnections(b.maxConnections)
	if b.maxSockets > 0 {
		left := max(b.maxSockets-b.outgoing, 0)
		wanted, most = min(wanted, left), min(most, left)
	}
	return wanted, most, true
}

// freedConnections is the number of connections that are ended at once if limit is reached.
func freedConnections(limit int) int { return max(1, int(freedShare*float64(limit))) }

// endSlowest tells the slowest n connections to end, and returns their number. The caller must
// hold mu, which is released meanwhile.
func (b *Budget) endSlowest(n int) int {
	victims := b.slowest(nil, func(u *addressUse) int64 { return int64(u.connections) }, func(*account) int64 { return 1 }, 1, int64(n))
	b.mu.Unlock()
	defer b.mu.Lock()
	b.endAll(victims)
	return len(victims)
}

func (b *Budget) wakeNewConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placeFreed.Broadcast()
}

// linger records that a connection is kept for its client only, until finish is called.
func (b *Budget) linger(a *account, finish func()) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.accounts[a]; !open {
		return
	}
	b.keep(a)
	b.stopLingering(a)
	a.finish = finish
	a.lingers = b.lingering.PushBack(a)
	b.placeFreed.Broadcast()
}

// stopLingering takes an account from the list of lingering ones. The caller must hold mu.
func (b *Budget) stopLingering(a *account) {
	if a.lingers != nil {
		b.lingering.Remove(a.lingers)
		a.lingers = nil
	}
}

// recordSocketClosed records that the socket of a connection is closed, which the server still
// has to end.
func (b *Budget) recordSocketClosed(a *account) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.accounts[a]; !open || a.ended {
		return
	}
	a.ended, a.socketClosed = true, true
	b.endingConnections++
	b.closedSockets++
}
