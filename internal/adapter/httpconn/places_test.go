package httpconn

import "testing"

// limitSockets limits the sockets of b. idle is the number of connections to targets that are
// idle, and counted by b.
func limitSockets(b *Budget, n int, idle *int) {
	b.LimitSockets(n, func() bool {
		if *idle == 0 {
			return false
		}
		*idle--
		b.Release()
		return true
	})
}

// Guards against descriptors that do not suffice for connections to targets, although some are
// held by connections that carry no request.
func TestTargetConnectionsTakeThePlacesOfIdleOnes(t *testing.T) {
	b, _ := newTestBudget(1000, 100)
	idle := 0
	limitSockets(b, 6, &idle)
	for range 3 {
		openTest(b, "10.0.0.1")
	}
	for range 3 {
		if !b.Acquire() {
			t.Fatal("no descriptor is free, 6 connections are allowed")
		}
	}
	if b.Acquire() {
		t.Error("a seventh connection is allowed")
	}
	idle = 1
	if !b.Acquire() {
		t.Error("the idle connection is kept, and another one refused")
	}
	if b.Connections() != 3 || b.TargetConnections() != 3 {
		t.Errorf("%d connections of clients and %d to targets are counted, want 3 each", b.Connections(), b.TargetConnections())
	}
}

// Guards against clients that cannot connect while connections to targets are idle, and against
// more connections than the descriptors allow.
func TestNewConnectionsTakeThePlacesOfIdleOnes(t *testing.T) {
	b, _ := newTestBudget(1000, 100)
	idle := 2
	limitSockets(b, 4, &idle)
	b.Acquire()
	b.Acquire()
	var first *account
	for range 4 {
		a, ended := openTest(b, "10.0.0.1")
		if a == nil || ended.Load() {
			t.Fatal("a new connection is refused or ended, although connections to targets are idle")
		}
		if first == nil {
			first = a
		}
	}
	if b.TargetConnections() != 0 {
		t.Errorf("%d connections to targets are open, want none", b.TargetConnections())
	}
	if a, _ := openTest(b, "10.0.0.2"); a == nil || b.Connections() != 4 || !first.closed {
		t.Errorf("%d connections are open, the slowest is closed: %v; want a new one in its place", b.Connections(), first.closed)
	}
}
