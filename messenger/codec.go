package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// codec encodes each message as a varint length followed by JSON. Unlike jsonrpc2.VarintObjectCodec it limits the
// length, so that a peer cannot make the reader allocate an arbitrary amount of memory.
type codec struct {
	limit int
}

var _ jsonrpc2.ObjectCodec = codec{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c codec) WriteObject(stream io.Writer, message any) error {
	body, err := encode(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(body) > c.limit {
		return errors.Wrapf(ErrTooLarge, "%d bytes; at most %d are allowed", len(body), c.limit)
	}
	header := binary.AppendUvarint(nil, uint64(len(body)))
	if _, err := stream.Write(header); err != nil {
		return errors.Wrap(err, "write message length")
	}
	_, err = stream.Write(body)
	return errors.Wrap(err, "write message")
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(stream *bufio.Reader, message any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > uint64(c.limit) {
		return errors.Wrapf(ErrTooLarge, "%d bytes announced; at most %d are allowed", length, c.limit)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(stream, body); err != nil {
		return errors.Wrap(err, "read message")
	}
	return errors.Wrap(decode(body, message), "decode message")
}

// encode returns the JSON text of a message. The messages of jsonrpc2 encode themselves with encoding/json; calling json.Marshal
// for them would check and copy the text again.
func encode(message any) ([]byte, error) {
	if marshaler, ok := message.(json.Marshaler); ok {
		return marshaler.MarshalJSON()
	}
	return json.Marshal(message)
}

// decode decodes the JSON text of a message. The messages of jsonrpc2 decode themselves with encoding/json, which checks the
// text; json.Unmarshal would check it twice before.
func decode(body []byte, message any) error {
	if unmarshaler, ok := message.(json.Unmarshaler); ok {
		return unmarshaler.UnmarshalJSON(body)
	}
	return json.Unmarshal(body, message)
}
