package dotterharness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterclient"
)

// Timeouts of a test's calls to an entry host.
const (
	callTimeout    = 15 * dotterclock.Second
	requestTimeout = 4 * dotterclock.Second // longer than the timeout of every template
)

// changeCount makes the change IDs of this process unique.
var changeCount atomic.Int64

// Request sends one service request to the host and returns the response.
func (c *Cluster) Request(h *EntryHost, template, id, body string, headers map[string]string) Answer {
	answer := Answer{Request: id, Host: h.Name()}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout.Duration())
	defer cancel()
	url := "http://" + h.Settings.CallerListen + "/v1/services/" + template + "/work"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		answer.Err = err
		return answer
	}
	request.Header.Set(dotterwire.HeaderRequest, id)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	answer.Err = err
	answer.Body = string(content)
	answer.Status = response.StatusCode
	answer.Header = response.Header
	answer.Outcome = dotteroutcome.Outcome(response.Header.Get(dotteroutcome.Header))
	return answer
}

// Submit submits tasks through the host.
func (c *Cluster) Submit(h *EntryHost, submissions ...dottersubmission.Submission) ([]dottertask.Task, error) {
	var answer dottermessage.SubmitAnswer
	err := c.client(h.Settings.CallerListen).Post(context.Background(), "/v1/tasks",
		dottermessage.SubmitRequest{Submissions: submissions}, &answer)
	return answer.Tasks, err
}

// Task returns the state of a task as reported by the host.
func (c *Cluster) Task(h *EntryHost, id dottertask.ID) (dottertask.Task, error) {
	var task dottertask.Task
	err := c.client(h.Settings.CallerListen).Get(context.Background(), taskPath(id), &task)
	return task, err
}

// Usage returns the usage per partner and team as reported by the host.
func (c *Cluster) Usage(h *EntryHost) (dottermessage.UsageAnswer, error) {
	var usage dottermessage.UsageAnswer
	err := c.client(h.Settings.OperatorListen).Get(context.Background(), "/v1/usage", &usage)
	return usage, err
}

// Configuration returns the configuration in force on the host.
func (c *Cluster) Configuration(h *EntryHost) (dotterconfig.Document, error) {
	var document dotterconfig.Document
	err := c.client(h.Settings.OperatorListen).Get(context.Background(), "/v1/configuration", &document)
	return document, err
}

// SetDomain takes a failure domain out of service, or back in, through the host
// and returns the revision that contains the change.
func (c *Cluster) SetDomain(h *EntryHost, domain string, out bool) int64 {
	c.t.Helper()
	document, err := c.Configuration(h)
	require.NoError(c.t, err)
	before, ok := document.FailureDomain(domain)
	require.True(c.t, ok)
	after := before
	after.Out = out
	edit, err := dotterconfig.NewEdit("FailureDomains/"+domain, before, after)
	require.NoError(c.t, err)
	revision, err := c.Edit(h, edit)
	require.NoError(c.t, err)
	return revision
}

// Edit changes the configuration through the host and returns the new revision.
func (c *Cluster) Edit(h *EntryHost, edits ...dotterconfig.Edit) (int64, error) {
	var answer dottermessage.EditAnswer
	request := dottermessage.EditRequest{ChangeID: fmt.Sprintf("change-%d", changeCount.Add(1)), By: "test", Edits: edits}
	err := c.client(h.Settings.OperatorListen).Post(context.Background(), "/v1/configuration/edits", request, &answer)
	return answer.Revision, err
}

func (c *Cluster) client(address string) *dotterclient.Client {
	return dotterclient.New(address, callTimeout)
}

func taskPath(id dottertask.ID) string {
	return "/v1/tasks/" + string(id)
}
