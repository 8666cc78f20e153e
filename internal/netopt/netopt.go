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
