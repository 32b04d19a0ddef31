package dotterharness

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterplatform"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

// clientName identifies the harness in its calls to the platform.
const clientName = "harness"

// StandIn is a running stand-in platform.
type StandIn struct {
	*Process
	Ready dotterplatform.Ready
	http  *http.Client
}

// StartStandIn starts a stand-in with the given flags and waits until it has
// printed its addresses and accepts calls.
func StartStandIn(arguments ...string) (*StandIn, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, eris.Wrap(ErrProcess, err.Error())
	}
	defer reader.Close()
	process, err := StartProcess("standin", arguments, writer, os.Stderr)
	writer.Close()
	if err != nil {
		return nil, err
	}
	s := &StandIn{Process: process, http: dotterwire.NewClient()}
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &s.Ready)
	}
	if err != nil {
		process.Kill()
		return nil, eris.Wrap(ErrProcess, err.Error())
	}
	return s, nil
}

// Post sends a control call to the stand-in.
func (s *StandIn) Post(path string, call any) error {
	var reply struct{}
	return dotterwire.Call(context.Background(), s.http, s.url(path), clientName, call, &reply)
}

// Truth returns the state and history recorded by the stand-in.
func (s *StandIn) Truth() (dottertruth.Truth, error) {
	var truth dottertruth.Truth
	err := dotterwire.Fetch(context.Background(), s.http, s.url(dottertruth.PathTruth), clientName, &truth)
	return truth, err
}

// Executions returns every execution of a request.
func (s *StandIn) Executions() ([]dottertruth.Execution, error) {
	var executions []dottertruth.Execution
	err := dotterwire.Fetch(context.Background(), s.http, s.url(dottertruth.PathExecutions), clientName, &executions)
	return executions, err
}

// AddHost adds an entry host to the host list, or replaces its row.
func (s *StandIn) AddHost(host dotterhost.Host) error {
	content, err := json.Marshal(host)
	if err != nil {
		return err
	}
	return s.do(http.MethodPut, dotterwire.PathHost+host.Name, content)
}

// RemoveHost deletes an entry host from the host list.
func (s *StandIn) RemoveHost(name string) error {
	return s.do(http.MethodDelete, dotterwire.PathHost+name, nil)
}

func (s *StandIn) do(method, path string, body []byte) error {
	request, err := http.NewRequest(method, s.url(path), newBody(body))
	if err != nil {
		return err
	}
	response, err := s.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return eris.Wrap(ErrProcess, response.Status)
	}
	return nil
}

func (s *StandIn) url(path string) string {
	return "http://" + s.Ready.Platform + path
}
