// Package codec packs the messages and records of the system: msgpack with
// compact numbers and without empty fields. Readers leave out the fields that
// they do not know, so that hosts of two versions understand each other.
//
// Frequent messages have tags of one or two letters. Packing structs as arrays
// would spare those as well, but the library refuses an array of another
// version's length.
package codec

import (
	"bytes"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// Raw is a packed value that is unpacked later.
type Raw = msgpack.RawMessage

// buffers keeps the memory of packed values for the next ones.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Marshal packs a value.
func Marshal(value any) ([]byte, error) {
	buffer := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	if err := Encode(buffer, value); err != nil {
		return nil, err
	}
	return bytes.Clone(buffer.Bytes()), nil
}

// Encode packs a value into a writer.
func Encode(writer io.Writer, value any) error {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(writer)
	encoder.SetOmitEmpty(true)
	encoder.UseCompactInts(true)
	return encoder.Encode(value)
}

// Unmarshal unpacks a value.
func Unmarshal(data []byte, target any) error {
	return msgpack.Unmarshal(data, target)
}
