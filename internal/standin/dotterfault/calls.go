package dotterfault

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// Paths of the control calls.
const (
	PathStore        = "/control/store"
	PathPartitions         = "/control/cuts"
	PathWorkers      = "/control/workers"
	PathBackends     = "/control/backends"
	PathSilence      = "/control/silence"
	PathRestart      = "/control/restart"
	PathList         = "/control/list"
	PathHost         = "/control/host"
	PathInterference = "/control/interference"
)

// WorkersCall sets the fault of the selected workers.
type WorkersCall struct {
	Selector
	Fault Worker
}

// BackendsCall sets the fault of the selected backend servers.
type BackendsCall struct {
	Selector
	Fault Backend
}

// ListCall sets the lag of the host list.
type ListCall struct {
	LagMillis dotterclock.Millis
}

// HostCall changes a row of the host list; the list shows it after its lag.
type HostCall struct {
	Name    string
	State   dotterhost.State `json:",omitempty"`
	Removed bool             `json:",omitempty"`
}

// Interference is how much slower a template's attempts run beside one of another template.
type Interference struct {
	Template string
	Beside   string
	Slowdown float64 // added to 1 for each neighbour
}
