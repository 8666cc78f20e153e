// Package netopt sets socket options that find connections which went silent.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle, probeInterval and probeCount make the kernel find a dead idle connection within about three seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout bounds the time for which sent bytes may stay unacknowledged.
	userTimeout = 2500 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// Dialer returns a dialer whose connections do not stay silent unnoticed.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: control}
}

// Listen listens on a TCP address; accepted connections do not stay silent unnoticed.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: control}
	return c.Listen(ctx, "tcp4", address)
}

// ListenBounded is Listen with a limit on the kernel's send and receive buffers of each accepted connection.
func ListenBounded(ctx context.Context, address string, bufferBytes int) (net.Listener, error) {
	bounded := func(network, address string, raw syscall.RawConn) error {
		if err := control(network, address, raw); err != nil {
			return err
		}
		return setBuffers(raw, bufferBytes)
	}
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: bounded}
	return c.Listen(ctx, "tcp4", address)
}

// setBuffers sets the sizes of the kernel's buffers, which accepted connections inherit.
func setBuffers(raw syscall.RawConn, n int) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
			if failed == nil {
				failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, n)
			}
		}
	})
	if err != nil {
		return err
	}
	return failed
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
