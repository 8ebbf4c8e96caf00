// Package wire encodes and decodes the messages between processes as CBOR, and
// limits the size and structure of decoded messages.
package wire

import (
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/fault"
)

// MaxMessageSize is the maximum size of an encoded message in bytes.
const MaxMessageSize = 1 << 20

// Limits on the structure of a message, against malicious or faulty senders.
const (
	maxElements = 1 << 17
	maxNesting  = 16
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{
		Sort: cbor.SortBytewiseLexical,
		Time: cbor.TimeUnixMicro, // the default truncates times to whole seconds
	}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode encodes a message. It returns an error if the result is larger than MaxMessageSize.
func Encode(msg any) ([]byte, error) {
	raw, err := encoder.Marshal(msg)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(raw) > MaxMessageSize {
		return nil, fault.New(fault.TooLarge, "message of %d bytes is over %d", len(raw), MaxMessageSize)
	}
	return raw, nil
}

// Decode decodes a message from raw into msg.
func Decode(raw []byte, msg any) error {
	if len(raw) > MaxMessageSize {
		return fault.New(fault.TooLarge, "message of %d bytes is over %d", len(raw), MaxMessageSize)
	}
	return errors.Wrap(decoder.Unmarshal(raw, msg), "decode message")
}

// ReadAll reads a message that ends with the stream.
func ReadAll(from io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(from, MaxMessageSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "read message")
	}
	if len(raw) > MaxMessageSize {
		return nil, fault.New(fault.TooLarge, "message is over %d bytes", MaxMessageSize)
	}
	return raw, nil
}
