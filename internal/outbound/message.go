package outbound

import (
	"fmt"
	"net"

	"github.com/godwitspread/godwitspread/internal/memory"
)

// joinedBytes is the size up to which a message is copied into one piece, because a single
// write costs less than the copy.
const joinedBytes = 64 << 10

// Message is a request as it is sent to a target.
type Message struct {
	Head   []byte
	Body   [][]byte            // parts of the body
	Memory *memory.Reservation // of the request; it also covers what the exchange with the target needs
}

// size returns the size of the message, in bytes.
func (message Message) size() int {
	size := len(message.Head)
	for _, part := range message.Body {
		size += len(part)
	}
	return size
}

// joined returns the message in one piece.
func (message Message) joined() []byte {
	joined := make([]byte, 0, message.size())
	joined = append(joined, message.Head...)
	for _, part := range message.Body {
		joined = append(joined, part...)
	}
	return joined
}

// send writes a message. It returns whether the target may have received a part of it. A
// large message is not copied, unless it goes through another host.
func (connection *conn) send(message Message) (sent bool, err error) {
	connection.memory = message.Memory
	if connection.relayed {
		if err := connection.grow(message.size()); err != nil {
			return false, fmt.Errorf("request for another host: %w", err)
		}
	}
	if connection.relayed || message.size() <= joinedBytes {
		written, err := connection.Write(message.joined())
		return written > 0, err
	}
	buffers := append(net.Buffers{message.Head}, message.Body...)
	written, err := buffers.WriteTo(connection.Conn)
	return written > 0, err
}

// grow adds to the memory that the connection holds until the request on it ends.
func (connection *conn) grow(bytes int) error {
	if err := connection.memory.Grow(int64(bytes)); err != nil {
		return err
	}
	connection.grown += int64(bytes)
	return nil
}

// shrink returns the memory that the connection holds.
func (connection *conn) shrink() {
	connection.memory.Shrink(connection.grown)
	connection.memory, connection.grown = nil, 0
}
