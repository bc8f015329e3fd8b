// Package codec encodes messages between hosts and stored records as msgpack with
// compact integers and without empty fields. Decoders ignore unknown fields, so
// that hosts of two versions understand each other.
//
// Frequent messages have tags of one or two letters. Encoding structs as arrays
// would save the tags as well, but the library rejects an array whose length
// differs from the number of fields, as another version's would.
package codec

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Raw is an encoded value that is decoded later.
type Raw = msgpack.RawMessage

// buffers reuses the buffers of Marshal.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBytes is the size up to which a buffer is reused.
const maxPooledBytes = 64 << 10

// Marshal returns the encoding of a value.
func Marshal(value any) ([]byte, error) {
	buffer := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	if err := Encode(buffer, value); err != nil {
		return nil, err
	}
	if buffer.Cap() > maxPooledBytes {
		return buffer.Bytes(), nil
	}
	defer buffers.Put(buffer)
	return bytes.Clone(buffer.Bytes()), nil
}

// MarshalReserved returns the encoding of a value. If it is longer than threshold bytes,
// reserve is called with its length before it is allocated, and may return an error
// instead. threshold is at most maxPooledBytes.
func MarshalReserved(value any, threshold int, reserve func(length int) error) ([]byte, error) {
	buffer := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	start := prefix{buffer: buffer, limit: threshold}
	if err := Encode(&start, value); err != nil {
		return nil, err
	}
	if start.length <= threshold {
		return bytes.Clone(buffer.Bytes()), nil
	}
	if err := reserve(start.length); err != nil {
		return nil, err
	}
	whole := bytes.NewBuffer(make([]byte, 0, start.length))
	if err := Encode(whole, value); err != nil {
		return nil, err
	}
	return whole.Bytes(), nil
}

// prefix is a writer that keeps the first bytes and counts the others.
type prefix struct {
	buffer *bytes.Buffer
	limit  int // bytes that it keeps
	length int // bytes written
}

// Write implements io.Writer. It always succeeds.
func (prefix *prefix) Write(data []byte) (int, error) {
	prefix.length += len(data)
	prefix.buffer.Write(data[:min(len(data), max(0, prefix.limit-prefix.buffer.Len()))])
	return len(data), nil
}

// WriteByte implements io.ByteWriter. It always succeeds.
func (prefix *prefix) WriteByte(value byte) error {
	prefix.length++
	if prefix.buffer.Len() < prefix.limit {
		prefix.buffer.WriteByte(value)
	}
	return nil
}

// Encode writes the encoding of a value.
func Encode(writer io.Writer, value any) error {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(writer)
	encoder.SetOmitEmpty(true)
	encoder.UseCompactInts(true)
	return encoder.Encode(value)
}

// Unmarshal decodes a value. It returns an error, without allocating memory for
// the value, if the input claims more elements than it has bytes or is nested too
// deeply.
func Unmarshal(data []byte, target any) error {
	if err := validate(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, target)
}

// maxDepth bounds the nesting of encoded values.
const maxDepth = 32

// validate checks the claimed lengths of an encoded value before it is decoded,
// because the library allocates as many elements as an array claims to have.
func validate(data []byte) error {
	reader := bytes.NewReader(data)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	var stack [maxDepth]int
	remaining := append(stack[:0], 1) // elements not yet read, by depth
	for len(remaining) > 0 {
		top := len(remaining) - 1
		if remaining[top] == 0 {
			remaining = remaining[:top]
			continue
		}
		remaining[top]--
		count, nested, err := readHeader(decoder, reader)
		if err != nil {
			return err
		}
		if !nested {
			continue
		}
		if count > reader.Len() || len(remaining) == maxDepth {
			return fmt.Errorf("packed value has %d elements at depth %d in %d bytes", count, len(remaining), len(data))
		}
		remaining = append(remaining, count)
	}
	return nil
}

// readHeader reads the header of an array or map and returns its number of
// elements. It skips any other value. The decoder reads from the reader.
func readHeader(decoder *msgpack.Decoder, reader *bytes.Reader) (count int, nested bool, err error) {
	code, err := decoder.PeekCode()
	if err != nil {
		return 0, false, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		count, err = decoder.DecodeArrayLen()
		return count, true, err
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		count, err = decoder.DecodeMapLen()
		return 2 * count, true, err
	case msgpcode.IsString(code), msgpcode.IsBin(code):
		return 0, false, skipBytes(decoder, reader)
	default:
		return 0, false, decoder.Skip()
	}
}

// skipBytes skips a string or bytes. Decoder.Skip would copy them into a buffer that
// the pool of decoders keeps.
func skipBytes(decoder *msgpack.Decoder, reader *bytes.Reader) error {
	length, err := decoder.DecodeBytesLen()
	if err != nil {
		return err
	}
	if length > reader.Len() {
		return io.ErrUnexpectedEOF
	}
	_, err = reader.Seek(int64(length), io.SeekCurrent)
	return err
}
