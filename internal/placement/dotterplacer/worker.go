package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// worker is one worker within a round.
type worker struct {
	host   dotterhost.Host
	usable bool
	free   dotterroom.Room
}

func newWorker(w dotterplan.Worker) worker {
	return worker{host: w.Host, usable: w.Usable, free: w.Free()}
}
