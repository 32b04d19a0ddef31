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

// Caller is the callers' API.
type Caller struct {
	tasks    dotterelusher.Tasks
	services http.Handler
	ready    func() []string
	maxBody  int64
}

// NewCaller returns the callers' API over the task service and the handler of
// service requests; ready says why the host takes no work, bodies are at most
// maxBody bytes.
func NewCaller(tasks dotterelusher.Tasks, services http.Handler, ready func() []string, maxBody int64) *Caller {
	return &Caller{tasks: tasks, services: services, ready: ready, maxBody: maxBody}
}

// Handler returns the API's routes.
func (c *Caller) Handler() http.Handler {
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

func (c *Caller) submit(w http.ResponseWriter, r *http.Request) {
	var request dottermessage.SubmitRequest
	if !readBody(w, r, c.maxBody, &request) {
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

func (c *Caller) get(w http.ResponseWriter, r *http.Request) {
	task, err := c.tasks.Get(r.Context(), dottertask.ID(pat.Param(r, "id")))
	if err != nil {
		c.writeTaskError(w, err)
		return
	}
	writeDone(w, http.StatusOK, task)
}

func (c *Caller) cancel(w http.ResponseWriter, r *http.Request) {
	var request dottermessage.CancelRequest
	if !readBody(w, r, c.maxBody, &request) {
		return
	}
	cancelled, err := c.tasks.Cancel(r.Context(), request.Tasks)
	if err != nil {
		c.writeTaskError(w, err)
		return
	}
	writeDone(w, http.StatusOK, dottermessage.CancelAnswer{Cancelled: cancelled})
}

func (c *Caller) readyz(w http.ResponseWriter, _ *http.Request) {
	writeReadiness(w, c.ready())
}
