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
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
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

// Unmarshal unpacks a value. Input that claims more elements than it has bytes,
// or nests too deep, is an error and takes no memory.
func Unmarshal(data []byte, target any) error {
	if err := check(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, target)
}

// maxDepth bounds the nesting of packed values.
const maxDepth = 32

// check walks over packed data without unpacking it, because the library makes
// room for as many elements as an array claims to have.
func check(data []byte) error {
	reader := bytes.NewReader(data)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	var storage [maxDepth]int
	left := append(storage[:0], 1) // elements to come, by depth
	for len(left) > 0 {
		top := len(left) - 1
		if left[top] == 0 {
			left = left[:top]
			continue
		}
		left[top]--
		count, nested, err := enter(decoder)
		if err != nil {
			return err
		}
		if !nested {
			continue
		}
		if count > reader.Len() || len(left) == maxDepth {
			return fmt.Errorf("packed value has %d elements at depth %d in %d bytes", count, len(left), len(data))
		}
		left = append(left, count)
	}
	return nil
}

// enter reads the head of an array or map and returns its number of elements,
// or skips a value without elements.
func enter(decoder *msgpack.Decoder) (count int, nested bool, err error) {
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
	default:
		return 0, false, decoder.Skip()
	}
}
