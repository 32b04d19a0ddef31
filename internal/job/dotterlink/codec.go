package dotterlink

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes is the largest message on a link. The largest that is sent is a listing of tenants.
const maxMessageBytes = 4 << 20

// errMessage means that what arrives on a link is no message, or too large.
var errMessage = eris.New("link: invalid message")

// codec is the codec of VS Code, with limits on what it reads.
type codec struct {
	jsonrpc2.VSCodeObjectCodec
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := readLength(stream)
	if err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(stream, length)).Decode(v)
}

// readLength reads the header of a message and returns the length of the message in bytes.
func readLength(stream *bufio.Reader) (int64, error) {
	length := int64(0)
	for {
		line, err := stream.ReadSlice('\n') // fails if the line is longer than the stream's buffer
		if err != nil {
			return 0, err
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" {
			break
		}
		if value, ok := strings.CutPrefix(text, "Content-Length: "); ok {
			if length, err = strconv.ParseInt(value, 10, 64); err != nil {
				return 0, eris.Wrapf(errMessage, "Content-Length: %v", err)
			}
		}
	}
	if length <= 0 || length > maxMessageBytes {
		return 0, eris.Wrapf(errMessage, "%d bytes, allowed are 1 to %d", length, maxMessageBytes)
	}
	return length, nil
}
