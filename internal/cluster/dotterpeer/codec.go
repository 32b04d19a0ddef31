package dotterpeer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessageBytes is the size limit of one message on a link. The largest message
// carries the configuration, which is at most one megabyte.
const MaxMessageBytes = 2 << 20

// ErrMessageTooLarge means that a message is longer than MaxMessageBytes.
var ErrMessageTooLarge = eris.New("peer: message too large")

var _ jsonrpc2.ObjectCodec = codec{}

// codec frames each message as its length, encoded as a varint, followed by its
// JSON. Unlike the codecs of jsonrpc2 it rejects a message longer than
// MaxMessageBytes before reading it.
type codec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return eris.Wrap(err, "peer: encode message")
	}
	if len(data) > MaxMessageBytes {
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
	if size > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, object)
}
