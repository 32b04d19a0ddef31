package dotterapi

import (
	"net/http"

	"goji.io"
	"goji.io/pat"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// CallerAPI is the HTTP API for callers.
type CallerAPI struct {
	tasks    dotterelusher.Tasks
	services http.Handler
	notReady func() []string
	bodies   *bodyReader
}

// NewCallerAPI returns the API for the task service and a handler of service requests.
// notReady returns the reasons why the host accepts no work, if any. Bodies of task
// requests are limited to maxBody bytes.
func NewCallerAPI(tasks dotterelusher.Tasks, services http.Handler, notReady func() []string, maxBody int64) *CallerAPI {
	return &CallerAPI{tasks: tasks, services: services, notReady: notReady, bodies: newBodyReader(maxBody)}
}

// Handler returns a handler for all routes of the API.
func (c *CallerAPI) Handler() http.Handler {
	mux := goji.NewMux()
	mux.Handle(pat.New("/v1/services/*"), c.services)
	mux.HandleFunc(pat.Post("/v1/tasks"), c.submit)
	mux.HandleFunc(pat.Get("/v1/tasks/:id"), c.get)
	mux.HandleFunc(pat.Post("/v1/cancellations"), c.cancel)
	mux.HandleFunc(pat.Get("/readyz"), c.readyz)
	mux.HandleFunc(pat.Get("/healthz"), healthz)
	mux.HandleFunc(pat.New("/*"), notFound)
	return mux
}

func (c *CallerAPI) submit(w http.ResponseWriter, r *http.Request) {
	var request dottermessage.SubmitRequest
	if !c.bodies.read(w, r, &request) {
		return
	}
	if len(request.Submissions) == 0 {
		writeError(w, http.StatusBadRequest, dottermessage.ErrorAnswer{
			Outcome: dotteroutcome.NotRun, Reason: "Invalid", Error: "/Submissions: at least one is needed",
		})
		return
	}
	tasks, err := c.tasks.Submit(r.Context(), request.Submissions)
	if err != nil {
		c.writeTaskError(w, err)
		return
	}
	writeDone(w, http.StatusCreated, dottermessage.SubmitAnswer{Tasks: tasks})
}

func (c *CallerAPI) get(w http.ResponseWriter, r *http.Request) {
	task, err := c.tasks.Get(r.Context(), dottertask.ID(pat.Param(r, "id")))
	if err != nil {
		c.writeTaskError(w, err)
		return
	}
	writeDone(w, http.StatusOK, task)
}

func (c *CallerAPI) cancel(w http.ResponseWriter, r *http.Request) {
	var request dottermessage.CancelRequest
	if !c.bodies.read(w, r, &request) {
		return
	}
	cancelled, err := c.tasks.Cancel(r.Context(), request.Tasks)
	if err != nil {
		c.writeTaskError(w, err)
		return
	}
	writeDone(w, http.StatusOK, dottermessage.CancelAnswer{Cancelled: cancelled})
}

func (c *CallerAPI) readyz(w http.ResponseWriter, _ *http.Request) {
	writeReadiness(w, c.notReady())
}
