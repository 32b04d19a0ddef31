package dotterpeer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// MessageLimit is the most bytes of one message on a link: the configuration,
// a megabyte at most, with room around it.
const MessageLimit = 2 << 20

// ErrMessageTooLarge means that a message is above MessageLimit.
var ErrMessageTooLarge = eris.New("peer: message too large")

var _ jsonrpc2.ObjectCodec = codec{}

// codec writes each message as its length, a varint, and its JSON. Unlike the
// library's codec it refuses a message above MessageLimit before reading it.
type codec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return eris.Wrap(err, "peer: encode message")
	}
	if len(data) > MessageLimit {
		return ErrMessageTooLarge
	}
	var header [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(header[:], uint64(len(data)))
	if _, err := stream.Write(header[:n]); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec) ReadObject(stream *bufio.Reader, object any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > MessageLimit {
		return ErrMessageTooLarge
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, object)
}
