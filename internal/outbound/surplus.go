package outbound

import (
	"context"
	"io"

	"github.com/godwitspread/godwitspread/internal/socket"
)

// Surplus returns what the target has sent after the response so far. The caller must
// have read the whole body.
func (response *Response) Surplus() []byte {
	reader := response.conn.reader
	if reader.Buffered() == 0 && socket.HasInput(response.conn.Conn) {
		// The end of the connection is no surplus.
		_, _ = reader.Peek(1)
	}
	// Bytes that are buffered can be peeked at.
	surplus, _ := reader.Peek(reader.Buffered())
	return surplus
}

// Remainder reads the rest of a short body. It returns it with what the target has sent
// after it so far, which a response without a length has in its body.
func (response *Response) Remainder(ctx context.Context) ([]byte, error) {
	if err := response.SetReadTimeout(ctx, discardTimeout); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDiscardBytes))
	return append(body, response.Surplus()...), err
}

// FindResponse returns the bytes from the beginning of the first response within them, and
// false if there is none.
func FindResponse(data []byte) ([]byte, bool) {
	found := statusLine.FindIndex(data)
	if found == nil {
		return nil, false
	}
	return data[found[0]:], true
}
