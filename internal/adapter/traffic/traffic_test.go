package traffic

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
)

func TestBetween(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	for _, test := range []struct {
		from, to string
		want     Distance
	}{{"a1", "a1", SameZone}, {"a1", "a2", SameRegion}, {"a1", "b1", OtherRegion}, {"a1", "", Unknown}, {"", "a1", Unknown}} {
		if got := Between(regions, test.from, test.to); got != test.want {
			t.Errorf("Between(%q, %q) = %v, want %v", test.from, test.to, got, test.want)
		}
	}
}

// Guards against traffic between zones that no metric explains, and against counted
// connections that the pool of targets cannot check before it reuses them.
func TestConnectionCountsItsBytesByDistance(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.CopyN(conn, conn, 5)
	}()
	counted := make(map[string]int64)
	distance := Unknown
	meter := Meter{DistanceTo: func(string) Distance { return distance }, Add: func(name string, n int64) { counted[name] += n }}
	conn, err := meter.Dial("targets", new(net.Dialer).DialContext)(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	distance = OtherRegion
	if _, err := io.ReadFull(conn, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]int64{"bytes_targets_unknown": 5, "bytes_targets_other_region": 5} {
		if got := counted[name]; got != want {
			t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
	if _, err := conn.(syscall.Conn).SyscallConn(); err != nil {
		t.Errorf("no file descriptor: %v", err)
	}
}
