// Package socket inspects sockets without changing their state.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// HasInput reports whether a read would not wait: bytes have arrived, or the remote
// side has closed the connection. It returns false for connections without a
// descriptor.
func HasInput(connection net.Conn) bool {
	descriptor, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return true
	}
	input := true
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		input = !errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || input
}
