package main

import (
	"net"
	"syscall"
	"time"
)

// fillQueue replaces the listener of an engine by one that accepts nothing and whose queue of new
// connections is full: the kernel then drops the opening packets, as for a machine that is gone.
func fillQueue(e *engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.Close()
	var fd int
	var err error
	for range 50 {
		if fd, err = rawListen(e.ip, enginePort); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		e.c.rec.line("engine %s cannot go dark: %v", e.name, err)
		return
	}
	e.darkSocket = fd
	for range 16 {
		c, err := net.DialTimeout("tcp", e.address(), 30*time.Millisecond)
		if err != nil {
			return
		}
		e.fillers = append(e.fillers, c)
	}
	e.c.rec.line("engine %s: the queue of new connections does not fill", e.name)
}

func rawListen(ip string, port int) (int, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	address := &syscall.SockaddrInet4{Port: port}
	copy(address.Addr[:], net.ParseIP(ip).To4())
	if err = syscall.Bind(fd, address); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		syscall.Close(fd)
	}
	return fd, err
}

// lightAgain closes the socket of a dark engine.
func (e *engine) lightAgain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.darkSocket > 0 {
		syscall.Close(e.darkSocket)
		e.darkSocket = 0
	}
	for _, c := range e.fillers {
		reset(c)
	}
	e.fillers = nil
}
