package socket

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHasInput guards against taking a connection for idle on which bytes have
// arrived or which is closed.
func TestHasInput(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	remote, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	local, err := listener.Accept()
	is.NoErr(err)
	await := func() bool {
		for end := time.Now().Add(time.Second); time.Now().Before(end) && !HasInput(local); time.Sleep(time.Millisecond) {
		}
		return HasInput(local)
	}
	is.True(!HasInput(local))
	_, err = remote.Write([]byte("x"))
	is.NoErr(err)
	is.True(await())
	_, err = local.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(!HasInput(local))
	is.NoErr(remote.Close())
	is.True(await())
	is.NoErr(local.Close())
	is.True(HasInput(local))
	pipe, _ := net.Pipe()
	is.True(!HasInput(pipe))
}
