package dotterscheduler

import (
	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterreplica"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// Platform is the platform's side, as the program that builds the scheduler supplies it.
type Platform struct {
	Store           dotterelusher.TransactionalStore
	Runs            dotterelusher.RunClient
	Admission       dotterelusher.Admission // nil: no queue has a policy
	OperatorPrefix  string                  // keys that operators write
	DirectoryPrefix string                  // keys under which workers are listed

	// NewOperatorSink returns a sink of operators' keys that calls take with each
	// configuration and the failure domains that are out.
	NewOperatorSink func(take func(dotterqueues.Document, map[string]bool)) dotterreplica.Sink
	// NewDirectorySink returns a sink of the workers' keys that calls take with all workers.
	NewDirectorySink func(take func(map[string]dotterworker.Worker)) dotterreplica.Sink
}
