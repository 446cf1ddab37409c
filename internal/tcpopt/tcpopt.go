// Package tcpopt sets the socket options that detect dead connections: keepalive
// probes and TCP_USER_TIMEOUT (RFC 5482).
package tcpopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is the time after which the kernel closes a connection whose sent
	// data is not acknowledged.
	UserTimeout = 1500 * time.Millisecond
	// KeepAliveIdle is the idle time before the first keepalive probe.
	KeepAliveIdle = time.Second
	// KeepAliveInterval is the time between probes.
	KeepAliveInterval = time.Second
	// KeepAliveCount is the number of unanswered probes after which a connection is
	// closed.
	KeepAliveCount = 2
	// DialTimeout is the timeout for establishing a connection.
	DialTimeout = time.Second
)

// KeepAlive returns the keepalive configuration for all TCP connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval, Count: KeepAliveCount}
}

// Dialer returns a dialer whose connections have the options of this package.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: DialTimeout, KeepAliveConfig: KeepAlive(), Control: Control}
}

// ListenConfig returns a listener configuration whose accepted connections have
// the options of this package.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: Control}
}

// Control sets TCP_USER_TIMEOUT on a socket. Accepted connections inherit it
// from the listening socket.
func Control(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
