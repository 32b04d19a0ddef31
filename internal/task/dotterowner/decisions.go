package dotterowner

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// logMoved writes one log line for each task that was moved to another shard.
func (o *Owner) logMoved(target string, ids []dottertask.ID) {
	for _, id := range ids {
		o.logger.Info("Task moved", zap.String("Task", string(id)), zap.String("Target", target),
			zap.String("Reason", "this shard can't run it now"), zap.Int64("Revision", o.document.Revision))
	}
}
