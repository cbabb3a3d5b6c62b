package httpconn

import (
	"cmp"
	"container/list"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// Shares of a Budget.
const (
	// addressShare is the share of the memory for heads that one address can take.
	addressShare = 0.75
	// freedShare is the share of the memory for heads, and of the connections, that is freed
	// at least once a limit is reached. Connections are searched only once for each share.
	freedShare = 1.0 / 16
)

// Memory is the memory budget of the process.
type Memory interface {
	// Reserve reserves n bytes, unless they exceed the budget.
	Reserve(n int64) bool
	// Force reserves n bytes in any case.
	Force(n int64)
	// Release releases reserved bytes.
	Release(n int64)
	// Used returns the number of reserved bytes.
	Used() int64
}

// Budget limits what the connections of all servers of a process hold before they become
// requests. Once a limit is reached, it ends connections that have not sent a whole head:
// those of the address that holds most, then of the next ones, of these first the ones whose clients have sent
// nothing that is not read, then those that have carried no request yet, and of these the ones
// that have waited longest. A nil Budget has no limits.
type Budget struct {
	memory Memory
	// headLimit limits the memory of all heads that are being read.
	headLimit int64
	// maxConnections limits the open connections; 0 is no limit.
	maxConnections int
	// maxSockets limits the open connections and those to targets together; 0 is no limit.
	maxSockets int
	// closeIdle closes the connection to a target that has been idle longest. It reports false
	// if there is none. It is called without a lock.
	closeIdle func() bool

	mu sync.Mutex
	// changed is signaled when memory is released and when an account is ended.
	changed   sync.Cond
	accounts  map[*account]struct{}
	addresses map[string]*addressUse
	// heads is the memory of the heads that are being read; ending is the part of it that
	// belongs to connections that have been ended and are not closed yet.
	heads, ending int64
	// endingConnections counts the connections that have been ended and are not closed yet.
	endingConnections int
	// closedSockets counts the ending connections whose sockets are closed already.
	closedSockets int
	// lingering are the accounts of the closed connections whose sockets are kept for their
	// clients, and of those whose places were offered, the oldest first. They give up their
	// places first.
	lingering list.List
	// outgoing counts the connections to targets.
	outgoing int
	// placeFreed is signaled when a connection is removed.
	placeFreed sync.Cond
}

// addressUse is what the connections from one address hold.
type addressUse struct {
	connections int
	heads       int64
}

// account is what one connection holds. Its Budget guards it.
type account struct {
	address *addressUse
	host    string
	// end ends the connection. It is called without a lock.
	end func()
	// unread reports whether bytes have arrived that were not read.
	unread func() bool
	// charging is set while the connection waits for memory.
	charging bool
	// waiting is set while a head is being read or awaited, since then.
	waiting bool
	since   time.Time
	// whole is set once all of a head has been read, until the server reports it. The
	// connection is not ended for others then.
	whole bool
	// requests counts the heads that were read completely.
	requests int
	cost     int64
	// ended is set once the Budget has told the connection to end, stopping while it ends for
	// another reason.
	ended    bool
	stopping bool
	// socketClosed is set if the socket is closed before the server has ended the connection.
	socketClosed bool
	closed       bool
	// finish closes the socket of a lingering connection, or of one whose place was offered. It
	// is called without a lock.
	finish func()
	// lingers is the element of the list of such connections.
	lingers *list.Element
}

// NewBudget returns a budget. memory is shared with other users; headLimit is the part of it
// that heads may take while they are read.
func NewBudget(memory Memory, headLimit int64, maxConnections int) *Budget {
	b := &Budget{
		memory: memory, headLimit: headLimit, maxConnections: maxConnections,
		accounts: make(map[*account]struct{}), addresses: make(map[string]*addressUse),
	}
	b.changed.L, b.placeFreed.L = &b.mu, &b.mu
	return b
}

// SetMaxConnections changes the limit of open connections.
func (b *Budget) SetMaxConnections(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxConnections = n
}

// newAccount returns the account of a connection that holds nothing yet.
func newAccount(remote net.Addr, unread func() bool, end func()) *account {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		host = remote.String()
	}
	return &account{host: host, unread: unread, end: end, waiting: true, since: time.Now()}
}

// endAll ends connections that were marked as ended, and wakes those that wait for memory.
func (b *Budget) endAll(victims []*account) {
	if len(victims) == 0 {
		return
	}
	for _, v := range victims {
		v.end()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changed.Broadcast()
}

// slowest marks connections as ended and returns them: of those from only, if it is set, and
// else of the addresses that hold most first. Their sizes add up to want if the addresses that
// hold most have as much. Those that hold less give only what is missing to least, and nothing
// if all together have less. The caller must hold mu.
func (b *Budget) slowest(only *addressUse, holds func(*addressUse) int64, size func(*account) int64, least, want int64) []*account {
	type candidate struct {
		*account
		// order is 1 for those that have carried a request, and 2 more for those that this
		// process keeps waiting.
		order int
	}
	candidates := make(map[int64][]candidate)
	var total int64
	for a := range b.accounts {
		if !a.waiting || a.whole || a.ended || only != nil && a.address != only || size(a) <= 0 {
			continue
		}
		held := holds(a.address)
		candidates[held] = append(candidates[held], candidate{account: a})
		total += size(a)
	}
	var victims []*account
	taken, missing := int64(0), max(least, want)
	for _, held := range slices.Backward(slices.Sorted(maps.Keys(candidates))) {
		group := candidates[held]
		for i, a := range group {
			group[i].order = min(a.requests, 1)
			if a.charging || a.unread() {
				group[i].order += 2
			}
		}
		slices.SortFunc(group, func(x, y candidate) int { return cmp.Or(cmp.Compare(x.order, y.order), x.since.Compare(y.since)) })
		for _, a := range group {
			if taken >= missing {
				return victims
			}
			a.ended = true
			b.endingConnections++
			b.ending += a.cost
			taken += size(a.account)
			victims = append(victims, a.account)
		}
		if missing = least; total < least {
			break
		}
	}
	return victims
}

// charge reserves memory for a part of a head. It waits until the memory is free, and ends
// other connections for it. It reports false if the connection has to end.
func (b *Budget) charge(a *account, n int64) bool {
	if b == nil || n <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for !a.ended && !a.closed {
		if b.reserve(a, n) {
			return true
		}
		if a.stopping {
			return false
		}
		victims := b.headVictims(a, n)
		if len(victims) > 0 {
			b.mu.Unlock()
			b.endAll(victims)
			b.mu.Lock()
			continue
		}
		a.charging = true
		b.changed.Wait()
		a.charging = false
	}
	return false
}

// reserve reserves memory for a head if the limits allow it, or if nothing else is reserved:
// a single request is served whatever its head costs. The caller must hold mu.
func (b *Budget) reserve(a *account, n int64) bool {
	alone := b.memory.Used() <= a.cost
	if !alone && (b.heads+n > b.headLimit || a.address.heads+n > b.addressLimit()) {
		return false
	}
	if !b.memory.Reserve(n) {
		if !alone {
			return false
		}
		b.memory.Force(n)
	}
	b.hold(a, n)
	return true
}

func (b *Budget) addressLimit() int64 { return int64(addressShare * float64(b.headLimit)) }

// hold adds reserved memory to an account. The caller must hold mu.
func (b *Budget) hold(a *account, n int64) {
	a.cost += n
	a.address.heads += n
	b.heads += n
}

// headVictims returns the connections to end for n bytes more of a; none while enough of
// those told to end are not closed yet. The caller must hold mu.
func (b *Budget) headVictims(a *account, n int64) []*account {
	need := max(n, int64(freedShare*float64(b.headLimit)))
	if b.ending >= n || a.cost+n > b.addressLimit() {
		// Enough ends already, or the head can only be read alone.
		return nil
	}
	var only *addressUse
	if a.address.heads+n > b.addressLimit() {
		only = a.address
	}
	waiting := a.waiting
	// A connection is not ended for itself.
	a.waiting = false
	defer func() { a.waiting = waiting }()
	return b.slowest(only, func(u *addressUse) int64 { return u.heads }, func(a *account) int64 { return a.cost }, n, need)
}

// admit ends the wait of a connection whose head has been read. Its memory stays reserved
// until idle or close.
func (b *Budget) admit(a *account) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || !a.waiting {
		return
	}
	b.leaveHeads(a)
	b.keep(a)
	a.waiting, a.whole, a.stopping = false, false, false
	a.requests++
	b.changed.Broadcast()
}

// keep takes back that a connection was told to end. The caller must hold mu.
func (b *Budget) keep(a *account) {
	if a.ended {
		a.ended = false
		b.endingConnections--
	}
}

// setWhole records whether all of a head has been read. A connection with a whole head is not
// ended for others, also if that was decided before.
func (b *Budget) setWhole(a *account, whole bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || !a.waiting {
		return
	}
	a.whole = whole
	if whole && a.ended {
		b.ending -= a.cost
		b.keep(a)
	}
}

// keeps reports whether a connection is kept, because its head has become whole, or a stream
// has begun, after it was chosen to end.
func (b *Budget) keeps(a *account) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return (a.whole || !a.waiting) && !a.ended
}

// leaveHeads takes the memory of an account from that of the heads. The caller must hold mu.
func (b *Budget) leaveHeads(a *account) {
	if !a.waiting {
		return
	}
	b.heads -= a.cost
	a.address.heads -= a.cost
	if a.ended {
		b.ending -= a.cost
	}
}

// idle begins the wait for the next head.
func (b *Budget) idle(a *account) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	b.leaveHeads(a)
	b.stopLingering(a)
	b.memory.Release(a.cost)
	a.cost, a.waiting, a.whole, a.since = 0, true, false, time.Now()
	b.changed.Broadcast()
}

// settle releases the memory of an admitted connection, whose head the handler charges.
func (b *Budget) settle(a *account) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || a.waiting {
		return
	}
	b.memory.Release(a.cost)
	a.cost = 0
	b.changed.Broadcast()
}

// await begins the wait of a connection with HTTP/2 for its next stream. It keeps its memory.
func (b *Budget) await(a *account) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || a.waiting {
		return
	}
	a.waiting, a.since = true, time.Now()
	a.address.heads += a.cost
	b.heads += a.cost
}

// begin records when the first byte of a head arrived.
func (b *Budget) begin(a *account) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.since = time.Now()
}

// stopWaiting keeps charge from waiting, because the connection has to end. What has arrived
// of a head is still accepted if its memory is free.
func (b *Budget) stopWaiting(a *account) { b.setStopping(a, true) }

// resume takes back stopWaiting.
func (b *Budget) resume(a *account) { b.setStopping(a, false) }

func (b *Budget) setStopping(a *account, stopping bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.stopping = stopping
	b.changed.Broadcast()
}

// release releases the memory of a connection that is being closed.
func (b *Budget) release(a *account) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	b.leaveHeads(a)
	b.memory.Release(a.cost)
	a.cost, a.closed, a.waiting = 0, true, false
	b.changed.Broadcast()
}

// remove removes a connection whose socket is closed.
func (b *Budget) remove(a *account) {
	if b == nil {
		return
	}
	b.release(a)
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.accounts[a]; !open {
		return
	}
	delete(b.accounts, a)
	b.keep(a)
	b.stopLingering(a)
	if a.socketClosed {
		b.closedSockets--
	}
	b.placeFreed.Broadcast()
	if a.address.connections--; a.address.connections == 0 {
		delete(b.addresses, a.host)
	}
}

// HeadBytes returns the memory that is reserved for heads that are being read.
func (b *Budget) HeadBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heads
}

// Connections returns the number of open connections.
func (b *Budget) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.accounts)
}
