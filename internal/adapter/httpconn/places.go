package httpconn

import "time"

// placeWaitTime limits the wait of a new connection for the end of those that were told to
// end for it. Meanwhile its listener accepts no other connection.
const placeWaitTime = 500 * time.Millisecond

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

// makeRoom waits until there is a place for one more connection. It ends lingering connections
// for it, and tells the slowest ones to end. It reports false if there are none. The caller must
// hold mu, which is released meanwhile.
func (b *Budget) makeRoom() (found bool, ended int) {
	if b.maxConnections <= 0 {
		return true, 0
	}
	var deadline time.Time
	for {
		freed := max(1, int(freedShare*float64(b.maxConnections)))
		if b.endLingering(b.maxConnections + freed - 1) {
			continue
		}
		if len(b.accounts)-b.lingering.Len()-b.endingConnections >= b.maxConnections {
			victims := b.slowest(nil, func(u *addressUse) int64 { return int64(u.connections) }, func(*account) int64 { return 1 }, 1, int64(freed))
			ended += len(victims)
			b.mu.Unlock()
			b.endAll(victims)
			b.mu.Lock()
		}
		if len(b.accounts) < b.maxConnections+freed {
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

func (b *Budget) wakeNewConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placeFreed.Broadcast()
}

// endLingering ends the oldest lingering connections until no more than limit connections are
// open. It reports whether it has ended any. The caller must hold mu, which is released
// meanwhile.
func (b *Budget) endLingering(limit int) (ended bool) {
	for len(b.accounts) > limit && b.lingering.Len() > 0 {
		oldest := b.lingering.Front().Value.(*account)
		b.stopLingering(oldest)
		b.mu.Unlock()
		oldest.finish()
		b.mu.Lock()
		ended = true
	}
	return ended
}

// linger records that a connection is closed and that its socket is kept for its client, until
// finish is called.
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
