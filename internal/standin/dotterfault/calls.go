package dotterfault

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// Paths of the control calls.
const (
	PathStore        = "/control/store"
	PathPartitions   = "/control/cuts"
	PathWorkers      = "/control/workers"
	PathBackends     = "/control/backends"
	PathSilence      = "/control/silence"
	PathRestart      = "/control/restart"
	PathList         = "/control/list"
	PathHost         = "/control/host"
	PathInterference = "/control/interference"
)

// WorkersCall replaces the faults of the selected workers.
type WorkersCall struct {
	Selector
	Fault Worker
}

// BackendsCall replaces the faults of the selected backend servers.
type BackendsCall struct {
	Selector
	Fault Backend
}

// ListCall sets the propagation delay of the host list.
type ListCall struct {
	LagMillis dotterclock.Millis
}

// HostCall changes or removes an entry of the host list. The change becomes visible after the list's lag.
type HostCall struct {
	Name    string
	State   dotterhost.State `json:",omitempty"`
	Removed bool             `json:",omitempty"`
}

// Interference defines how much an attempt of one template is slowed down by
// each attempt of another template on the same worker.
type Interference struct {
	Template string
	Beside   string
	Slowdown float64 // added to the base slowdown of 1 for each such attempt
}
