package httpconn

import (
	"context"
	"net"
)

type connKey struct{}

// ConnContext is the ConnContext function of a server whose handlers call OfferPlace.
func (t *Tracker) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// OfferPlace lets a new connection take the place of the one that carries a request, whose
// context is given. The response has been written, and of the body only what nobody needs is
// missing: a client could otherwise hold a place as long as the server reads it. The connection
// is no longer offered once its next request is awaited. taken reports whether the place has
// been taken; reads of the body then fail.
func OfferPlace(ctx context.Context) (taken func() bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() bool { return false }
	}
	c.tracker.Budget.linger(c.account, c.giveUpPlace)
	return c.socketIsClosed
}

func (c *conn) socketIsClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.socketClosed
}

// giveUpPlace closes the socket of a connection whose place was offered. The place is free once
// the server has ended the connection.
func (c *conn) giveUpPlace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.phase != phaseServed {
		return
	}
	c.cause, c.socketClosed = closedByBudget, true
	c.tracker.Budget.recordSocketClosed(c.account)
	// The client may still send, so the end of the response is lost in the worst case.
	_ = c.TCPConn.Close()
}
