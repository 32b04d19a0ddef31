package dotterstandbackend

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterendpoint"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

// HealthPath is the path at which GET and HEAD answer health probes without occupying a slot.
const HealthPath = "/healthz"

// maxBodyBytes limits how much of a request body a server reads.
const maxBodyBytes = 16 << 20

// Server is a simulated backend server.
type Server struct {
	host     dotterhost.Host
	service  *Service
	recorder *dottertruth.Recorder
	endpoint *dotterendpoint.Endpoint
	gate     dotterendpoint.Gate

	mu    sync.Mutex
	fault dotterfault.Backend
}

// New returns a server that listens on host.Address once it is opened.
func New(host dotterhost.Host, service *Service, recorder *dottertruth.Recorder) *Server {
	s := &Server{host: host, service: service, recorder: recorder}
	s.endpoint = dotterendpoint.New(host.Address, http.HandlerFunc(s.serve), s.countConnections)
	recorder.AddBackend(host)
	return s
}

// Open starts serving.
func (s *Server) Open() error {
	return s.endpoint.Open()
}

// Close stops serving and closes all connections.
func (s *Server) Close() {
	s.gate.SetClosed(false)
	s.endpoint.Close()
}

// Silence permanently silences all open connections.
func (s *Server) Silence() {
	s.endpoint.Silence()
}

// Host returns the server's host list entry, with its current address.
func (s *Server) Host() dotterhost.Host {
	host := s.host
	host.Address = s.endpoint.Address()
	return host
}

// SetFault replaces the server's faults.
func (s *Server) SetFault(fault dotterfault.Backend) error {
	s.mu.Lock()
	s.fault = fault
	s.mu.Unlock()
	s.gate.SetClosed(fault.Frozen)
	if fault.Dead {
		s.endpoint.Close()
		return nil
	}
	return s.endpoint.Open()
}

func (s *Server) countConnections(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.recorder.AddConnections(s.host.Name, 1)
	case http.StateClosed, http.StateHijacked:
		s.recorder.AddConnections(s.host.Name, -1)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if !s.gate.Wait(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	if isHealthProbe(r) {
		dotterwire.Answer(w, struct{}{})
		return
	}
	fault := s.nextFault()
	if fault.Leaving {
		w.Header().Set(dotterwire.HeaderLeaving, "true")
	}
	if fault.Refusals != 0 {
		s.recorder.RefuseRequest(s.host.Name)
		dotterwire.Refuse(w, http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(dotterwire.HeaderRequest)
	execution := s.recorder.StartRequest(s.host.Name, id)
	body, err := s.execute(r, fault)
	s.recorder.EndRequest(execution)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(fault.LateMillis.Duration())
	s.answer(w, fault, id, body)
}

// execute reads the request body, simulates the service time and blocks while the
// server is frozen.
func (s *Server) execute(r *http.Request, fault dotterfault.Backend) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	factor := fault.SlowFactor
	if factor == 0 {
		factor = 1
	}
	time.Sleep(s.service.ServiceTime(factor))
	s.gate.Wait(r.Context())
	return body, err
}

func (s *Server) answer(w http.ResponseWriter, fault dotterfault.Backend, id string, body []byte) {
	content := append([]byte(id+"\n"), body...)
	if fault.PadBytes > 0 {
		content = append(content, make([]byte, fault.PadBytes)...)
	}
	w.Header().Set(dotterwire.HeaderRequest, id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if fault.Failures != 0 {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if fault.HalfAnswers != 0 {
		w.Write(content[:len(content)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(content)
}

// nextFault returns the faults that apply to the next request and decrements
// their counts. A refusal leaves the counts of the other faults unchanged.
func (s *Server) nextFault() dotterfault.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.fault
	countDown(&s.fault.Refusals)
	if current.Refusals != 0 {
		return current
	}
	countDown(&s.fault.HalfAnswers)
	countDown(&s.fault.Failures)
	return current
}

func countDown(count *int) {
	if *count > 0 {
		*count--
	}
}

// isHealthProbe reports whether r is a health probe.
func isHealthProbe(r *http.Request) bool {
	return r.URL.Path == HealthPath && (r.Method == http.MethodGet || r.Method == http.MethodHead)
}
