package dotterscheduler

import (
	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterreplica"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// Platform holds the clients, key prefixes and decoders for a platform.
type Platform struct {
	Store           dotterelusher.TransactionalStore
	Runs            dotterelusher.RunClient
	Admission       dotterelusher.Admission // nil if no queue has an admission policy
	OperatorPrefix  string                  // prefix of the keys that operators write
	DirectoryPrefix string                  // prefix of the keys under which workers are registered

	// NewOperatorSink returns a sink for the operators' keys. It calls onChange with
	// the configuration and the evacuated failure domains after each change.
	NewOperatorSink func(onChange func(dotterqueues.Document, map[string]bool)) dotterreplica.Sink
	// NewDirectorySink returns a sink for the workers' keys. It calls onChange with all
	// workers after each change.
	NewDirectorySink func(onChange func(map[string]dotterworker.Worker)) dotterreplica.Sink
}
