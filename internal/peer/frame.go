// Package peer implements remote procedure calls between hosts: msgpack frames
// over TCP, multiplexed calls with streamed responses, keep-alive pings, deadlines
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

// frame is one message on a connection. Stream identifies the call; frames that
// concern the connection itself have stream zero. TimeoutMillis is the time left
// until the deadline of a call, or zero if it has none.
type frame struct {
	Stream        uint64
	Kind          kind
	Method        string
	TimeoutMillis int64
	Payload       codec.Raw
	Refusal       *refusal.Refusal
}

// frameFieldCount is the number of fields of an encoded frame.
const frameFieldCount = 6

// EncodeMsgpack implements msgpack.CustomEncoder. It avoids reflection because
// every streamed token is sent in a frame.
func (frame *frame) EncodeMsgpack(encoder *msgpack.Encoder) error {
	var encodedRefusal []byte
	if frame.Refusal != nil {
		var err error
		if encodedRefusal, err = codec.Marshal(frame.Refusal); err != nil {
			return err
		}
	}
	return errors.Join(
		encoder.EncodeArrayLen(frameFieldCount),
		encoder.EncodeUint(frame.Stream),
		encoder.EncodeUint(uint64(frame.Kind)),
		encoder.EncodeString(frame.Method),
		encoder.EncodeInt(frame.TimeoutMillis),
		encoder.EncodeBytes(frame.Payload),
		encoder.EncodeBytes(encodedRefusal),
	)
}

// DecodeMsgpack implements msgpack.CustomDecoder. It skips additional fields,
// which later versions may send.
func (frame *frame) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count < frameFieldCount {
		return fmt.Errorf("frame has %d fields, expected %d", count, frameFieldCount)
	}
	if frame.Stream, err = decoder.DecodeUint64(); err != nil {
		return err
	}
	kindNumber, err := decoder.DecodeUint8()
	if err != nil {
		return err
	}
	frame.Kind = kind(kindNumber)
	if frame.Method, err = decoder.DecodeString(); err != nil {
		return err
	}
	if frame.TimeoutMillis, err = decoder.DecodeInt64(); err != nil {
		return err
	}
	if frame.Payload, err = decoder.DecodeBytes(); err != nil {
		return err
	}
	encodedRefusal, err := decoder.DecodeBytes()
	if err != nil {
		return err
	}
	if len(encodedRefusal) > 0 {
		frame.Refusal = &refusal.Refusal{}
		if err := codec.Unmarshal(encodedRefusal, frame.Refusal); err != nil {
			return err
		}
	}
	for range count - frameFieldCount {
		if err := decoder.Skip(); err != nil {
			return err
		}
	}
	return nil
}

// hello is the payload of the first frame that each side of a connection sends.
type hello struct {
	Host        string `msgpack:"host"`
	Incarnation string `msgpack:"incarnation"`
	Secret      string `msgpack:"secret"`
}

const (
	maxFrameBytes = 16 << 20 // largest encoded frame
	headerBytes   = 4        // length prefix of each frame
)

// writeFrame writes an encoded frame, preceded by its length.
func writeFrame(writer io.Writer, message frame) error {
	buffer := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(buffer)
	buffer.Reset()
	buffer.Write(make([]byte, headerBytes))
	if err := codec.Encode(buffer, &message); err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	size := buffer.Len() - headerBytes
	if size > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes is over the limit of %d", size, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(buffer.Bytes(), uint32(size))
	if _, err := writer.Write(buffer.Bytes()); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// bufferPool reuses the buffers in which frames are encoded.
var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readFrame reads and decodes the next frame.
func readFrame(reader io.Reader) (frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return frame{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > maxFrameBytes {
		return frame{}, fmt.Errorf("frame length %d is outside 1 to %d", size, maxFrameBytes)
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
