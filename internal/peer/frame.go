// Package peer implements remote procedure calls between hosts: msgpack frames
// over TCP, multiplexed calls with streamed responses, keep-alive pings, deadlines
// and cancellation.
package peer

import (
	"bufio"
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

	// These are not encoded.
	held      hold
	failure   error // why the payload was discarded
	discarded int   // bytes of such a payload
}

// hello is the payload of the first frame that each side of a connection sends.
type hello struct {
	Host        string `msgpack:"host"`
	Incarnation string `msgpack:"incarnation"`
	Secret      string `msgpack:"secret"`
}

const (
	maxFrameBytes     = 16 << 20             // largest encoded frame
	maxPayloadBytes   = maxFrameBytes - 1024 // largest payload, with room for the other fields
	maxGreetingBytes  = 4 << 10              // largest encoded frame of a host that has not presented the secret
	maxMethodBytes    = 256                  // longest name of a method
	maxRefusalBytes   = 16 << 10             // longest encoded refusal that is read
	maxRefusalMessage = 2 << 10              // longest message of a refusal that is sent, in bytes
	headerBytes       = 4                    // length prefix of each frame
	frameFieldCount   = 6                    // fields of an encoded frame
)

// writeFrame writes an encoded frame, preceded by its length. It does not copy the
// payload, and avoids reflection because every streamed token is sent in a frame.
func writeFrame(writer io.Writer, message frame) error {
	var encodedRefusal []byte
	if message.Refusal != nil {
		var err error
		if encodedRefusal, err = codec.Marshal(message.Refusal); err != nil {
			return fmt.Errorf("encode refusal: %w", err)
		}
	}
	buffer := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(buffer)
	buffer.Reset()
	buffer.Write(make([]byte, headerBytes))
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(buffer)
	err := errors.Join(
		encoder.EncodeArrayLen(frameFieldCount),
		encoder.EncodeUint(message.Stream),
		encoder.EncodeUint(uint64(message.Kind)),
		encoder.EncodeString(message.Method),
		encoder.EncodeInt(message.TimeoutMillis),
		encodeBytesLen(encoder, message.Payload),
	)
	payloadStart := buffer.Len()
	if err := errors.Join(err, encoder.EncodeBytes(encodedRefusal)); err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	size := buffer.Len() - headerBytes + len(message.Payload)
	if size > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes is over the limit of %d", size, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(buffer.Bytes(), uint32(size))
	for _, part := range [][]byte{buffer.Bytes()[:payloadStart], message.Payload, buffer.Bytes()[payloadStart:]} {
		if _, err := writer.Write(part); err != nil {
			return fmt.Errorf("write frame: %w", err)
		}
	}
	return nil
}

// encodeBytesLen encodes the length of bytes that follow.
func encodeBytesLen(encoder *msgpack.Encoder, data []byte) error {
	if data == nil {
		return encoder.EncodeNil()
	}
	return encoder.EncodeBytesLen(len(data))
}

// bufferPool reuses the buffers in which frames are encoded, without their payloads.
var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// frameReader reads the rest of a frame, but not beyond it.
type frameReader struct {
	reader *bufio.Reader
	left   int // bytes of the frame that were not read
}

// Read implements io.Reader.
func (reader *frameReader) Read(data []byte) (int, error) {
	if reader.left == 0 && len(data) > 0 {
		return 0, io.ErrUnexpectedEOF
	}
	count, err := reader.reader.Read(data[:min(len(data), reader.left)])
	reader.left -= count
	return count, err
}

// ReadByte implements io.ByteReader.
func (reader *frameReader) ReadByte() (byte, error) {
	if reader.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	value, err := reader.reader.ReadByte()
	if err == nil {
		reader.left--
	}
	return value, err
}

// UnreadByte implements io.ByteScanner.
func (reader *frameReader) UnreadByte() error {
	err := reader.reader.UnreadByte()
	if err == nil {
		reader.left++
	}
	return err
}

// discard skips bytes of the frame. It fails if the frame has fewer.
func (reader *frameReader) discard(count int) error {
	if count > reader.left {
		return io.ErrUnexpectedEOF
	}
	discarded, err := reader.reader.Discard(count)
	reader.left -= discarded
	return err
}

// readBytes reads bytes of the frame. It allocates no more than the frame has.
func (reader *frameReader) readBytes(count int) ([]byte, error) {
	if count > reader.left {
		return nil, io.ErrUnexpectedEOF
	}
	data := make([]byte, count)
	_, err := io.ReadFull(reader, data)
	return data, err
}

// admitAll admits every payload.
func admitAll(*frame, int) error { return nil }

// readFrame reads and decodes the next frame, of up to limit bytes. When its other fields
// are known, admit is called with the length of the payload, which is discarded and not
// allocated if admit returns an error.
func readFrame(reader *frameReader, limit int, admit func(message *frame, payload int) error) (frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader.reader, header[:]); err != nil {
		return frame{}, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size == 0 || size > limit {
		return frame{}, fmt.Errorf("frame length %d is outside 1 to %d", size, limit)
	}
	reader.left = size
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	var message frame
	err := message.decode(decoder, reader, admit)
	if err == nil {
		err = reader.discard(reader.left) // fields that later versions may send
	}
	if err != nil {
		message.held.release()
		return frame{}, fmt.Errorf("decode frame of %d bytes: %w", size, err)
	}
	return message, nil
}

// decode decodes the known fields of a frame from the reader, which the decoder uses.
func (frame *frame) decode(decoder *msgpack.Decoder, reader *frameReader, admit func(*frame, int) error) error {
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
	if frame.Method, err = decodeMethod(decoder, reader); err != nil {
		return err
	}
	if frame.TimeoutMillis, err = decoder.DecodeInt64(); err != nil {
		return err
	}
	if err := frame.decodePayload(decoder, reader, admit); err != nil {
		return err
	}
	return frame.decodeRefusal(decoder, reader)
}

// decodeMethod decodes the name of a method.
func decodeMethod(decoder *msgpack.Decoder, reader *frameReader) (string, error) {
	length, err := decoder.DecodeBytesLen()
	if err != nil || length <= 0 {
		return "", err
	}
	if length > maxMethodBytes {
		return "", fmt.Errorf("name of a method has %d bytes, expected up to %d", length, maxMethodBytes)
	}
	name, err := reader.readBytes(length)
	return string(name), err
}

// decodePayload reads the payload, or discards it if it is not admitted.
func (frame *frame) decodePayload(decoder *msgpack.Decoder, reader *frameReader, admit func(*frame, int) error) error {
	length, err := decoder.DecodeBytesLen()
	if err != nil || length < 0 {
		return err
	}
	if length > reader.left {
		return io.ErrUnexpectedEOF
	}
	if frame.failure = admit(frame, length); frame.failure != nil {
		frame.discarded = length
		return reader.discard(length)
	}
	frame.Payload, err = reader.readBytes(length)
	return err
}

// decodeRefusal decodes the refusal, if there is one.
func (frame *frame) decodeRefusal(decoder *msgpack.Decoder, reader *frameReader) error {
	length, err := decoder.DecodeBytesLen()
	if err != nil || length <= 0 {
		return err
	}
	if length > maxRefusalBytes {
		frame.Refusal = refusal.New(refusal.Internal, "refusal of %d bytes is over the limit of %d", length, maxRefusalBytes).WithRun(refusal.RunUnknown)
		return reader.discard(length)
	}
	encoded, err := reader.readBytes(length)
	if err != nil {
		return err
	}
	frame.Refusal = &refusal.Refusal{}
	return codec.Unmarshal(encoded, frame.Refusal)
}
