package dotterpeer

import (
	"io"
	"strings"

	"go.uber.org/zap"
)

var _ io.Writer = logWriter{}

// logWriter forwards the log lines of the jsonrpc2 library to logger.
type logWriter struct {
	logger *zap.Logger
}

// Write implements io.Writer.
func (w logWriter) Write(line []byte) (int, error) {
	w.logger.Debug("jsonrpc2", zap.String("Message", strings.TrimSpace(string(line))))
	return len(line), nil
}
