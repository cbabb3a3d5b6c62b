package loopback

import "net"

// Serve listens on a loopback address and calls handle in a new goroutine for
// each connection, until stop is called.
func Serve(handle func(net.Conn)) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	// The error of Close is ignored because a listener has nothing to flush.
	return l.Addr().String(), func() { _ = l.Close() }, nil
}
