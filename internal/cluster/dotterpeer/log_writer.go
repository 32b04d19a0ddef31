package dotterpeer

import (
	"io"
	"strings"

	"go.uber.org/zap"
)

var _ io.Writer = logWriter{}

// logWriter passes the JSON-RPC library's own messages to our log.
type logWriter struct {
	logger *zap.Logger
}

// Write implements io.Writer.
func (w logWriter) Write(line []byte) (int, error) {
	w.logger.Debug("jsonrpc2", zap.String("Message", strings.TrimSpace(string(line))))
	return len(line), nil
}
