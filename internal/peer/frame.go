// Package peer carries typed calls between the hosts of the system: frames of
// msgpack over TCP, many calls on one connection, with heartbeats, deadlines
// and cancellation.
package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// kind is the type of a frame.
type kind uint8

const (
	kindHello kind = iota + 1
	kindRequest
	kindData
	kindEnd
	kindCancel
	kindPing
	kindPong
)

// frame is one message on a connection. Stream zero belongs to the connection.
type frame struct {
	Stream        uint64
	Kind          kind
	Method        string
	TimeoutMillis int64
	Payload       codec.Raw
	Refusal       *refusal.Refusal
}

// frameFields is the number of fields of an encoded frame.
const frameFields = 6

// EncodeMsgpack implements msgpack.CustomEncoder. Frames carry every streamed
// token, so they do without reflection.
func (frame *frame) EncodeMsgpack(encoder *msgpack.Encoder) error {
	var refused []byte
	if frame.Refusal != nil {
		var err error
		if refused, err = codec.Marshal(frame.Refusal); err != nil {
			return err
		}
	}
	return errors.Join(
		encoder.EncodeArrayLen(frameFields),
		encoder.EncodeUint(frame.Stream),
		encoder.EncodeUint(uint64(frame.Kind)),
		encoder.EncodeString(frame.Method),
		encoder.EncodeInt(frame.TimeoutMillis),
		encoder.EncodeBytes(frame.Payload),
		encoder.EncodeBytes(refused),
	)
}

// DecodeMsgpack implements msgpack.CustomDecoder. It skips the fields of later
// versions.
func (frame *frame) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count < frameFields {
		return fmt.Errorf("frame has %d fields, expected %d", count, frameFields)
	}
	if frame.Stream, err = decoder.DecodeUint64(); err != nil {
		return err
	}
	number, err := decoder.DecodeUint8()
	if err != nil {
		return err
	}
	frame.Kind = kind(number)
	if frame.Method, err = decoder.DecodeString(); err != nil {
		return err
	}
	if frame.TimeoutMillis, err = decoder.DecodeInt64(); err != nil {
		return err
	}
	if frame.Payload, err = decoder.DecodeBytes(); err != nil {
		return err
	}
	refused, err := decoder.DecodeBytes()
	if err != nil {
		return err
	}
	if len(refused) > 0 {
		frame.Refusal = &refusal.Refusal{}
		if err := codec.Unmarshal(refused, frame.Refusal); err != nil {
			return err
		}
	}
	for range count - frameFields {
		if err := decoder.Skip(); err != nil {
			return err
		}
	}
	return nil
}

// hello opens a connection in both directions.
type hello struct {
	Host        string `msgpack:"host"`
	Incarnation string `msgpack:"incarnation"`
	Secret      string `msgpack:"secret"`
}

const (
	maxFrame   = 16 << 20 // bytes of one encoded frame
	headerSize = 4        // bytes of the length before each frame
)

// writeFrame encodes a frame with its length in front.
func writeFrame(writer io.Writer, message frame) error {
	buffer := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	buffer.Write(make([]byte, headerSize))
	if err := codec.Encode(buffer, &message); err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	size := buffer.Len() - headerSize
	if size > maxFrame {
		return fmt.Errorf("frame of %d bytes is over the limit of %d", size, maxFrame)
	}
	binary.BigEndian.PutUint32(buffer.Bytes(), uint32(size))
	if _, err := writer.Write(buffer.Bytes()); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// buffers keeps the memory of encoded frames for the next ones.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readFrame decodes the next frame.
func readFrame(reader io.Reader) (frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return frame{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > maxFrame {
		return frame{}, fmt.Errorf("frame length %d is outside 1 to %d", size, maxFrame)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(reader, data); err != nil {
		return frame{}, fmt.Errorf("read frame of %d bytes: %w", size, err)
	}
	var message frame
	if err := msgpack.Unmarshal(data, &message); err != nil {
		return frame{}, fmt.Errorf("decode frame: %w", err)
	}
	return message, nil
}
