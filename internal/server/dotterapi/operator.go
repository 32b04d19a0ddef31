package dotterapi

import (
	"context"
	"errors"
	"net/http"
	"net/http/pprof"
	"strconv"

	"goji.io"
	"goji.io/pat"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterlog"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

const (
	maxOperatorBody  = 1 << 20                // maximum size of a request body, in bytes
	defaultDecisions = 50                     // number of decisions returned if the request has no valid count
	editRetryAfter   = 2 * dotterclock.Second // delay before a failed edit or usage query should be retried
)

// EditFunc updates the configuration by compare-and-swap. It applies change to the
// newest document, retries after a concurrent update, and returns the stored document.
type EditFunc func(ctx context.Context, changeID string, change func(dotterconfig.Document) (dotterconfig.Document, error)) (dotterconfig.Document, error)

// OperatorOptions holds the data sources and functions behind the operators' API.
type OperatorOptions struct {
	Configuration dotterelusher.Configuration
	Edit          EditFunc
	Status        func() dottermessage.StatusAnswer
	Usage         func(context.Context) (dottermessage.UsageAnswer, error)
	Decisions     *dotterlog.Ring
	Metrics       http.Handler
}

// OperatorAPI is the HTTP API for operators.
type OperatorAPI struct {
	options OperatorOptions
	bodies  *bodyReader
}

// NewOperatorAPI returns the API with the given options.
func NewOperatorAPI(options OperatorOptions) *OperatorAPI {
	return &OperatorAPI{options: options, bodies: newBodyReader(maxOperatorBody)}
}

// Handler returns a handler for all routes of the API.
func (o *OperatorAPI) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/status"), o.status)
	mux.HandleFunc(pat.Get("/v1/configuration"), o.configuration)
	mux.HandleFunc(pat.Post("/v1/configuration/edits"), o.edit)
	mux.HandleFunc(pat.Get("/v1/decisions"), o.decisions)
	mux.HandleFunc(pat.Get("/v1/usage"), o.usage)
	mux.Handle(pat.Get("/metrics"), o.options.Metrics)
	mux.HandleFunc(pat.Get("/healthz"), healthz)
	mux.HandleFunc(pat.Get("/readyz"), o.readyz)
	mux.HandleFunc(pat.Get("/debug/pprof/profile"), pprof.Profile)
	mux.HandleFunc(pat.Get("/debug/pprof/*"), pprof.Index)
	mux.HandleFunc(pat.New("/*"), notFound)
	return mux
}

func (o *OperatorAPI) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.options.Status())
}

func (o *OperatorAPI) readyz(w http.ResponseWriter, _ *http.Request) {
	writeReadiness(w, o.options.Status().NotReady)
}

func (o *OperatorAPI) configuration(w http.ResponseWriter, _ *http.Request) {
	document, _ := o.options.Configuration.Current()
	writeJSON(w, http.StatusOK, document)
}

func (o *OperatorAPI) edit(w http.ResponseWriter, r *http.Request) {
	var request dottermessage.EditRequest
	if !o.bodies.read(w, r, &request) {
		return
	}
	if request.ChangeID == "" {
		writeFaults(w, &dottercheck.Faults{Source: "body", List: []dottercheck.Fault{{Pointer: "/ChangeID", Problem: "an id is needed"}}})
		return
	}
	change := func(d dotterconfig.Document) (dotterconfig.Document, error) {
		return d.WithEdits(request.ChangeID, request.By, request.Edits)
	}
	stored, err := o.options.Edit(r.Context(), request.ChangeID, change)
	if err != nil {
		writeEditError(w, err)
		return
	}
	writeDone(w, http.StatusOK, dottermessage.EditAnswer{Revision: stored.Revision})
}

func writeEditError(w http.ResponseWriter, err error) {
	var conflict *dotterconfig.Conflict
	var faults *dottercheck.Faults
	switch {
	case errors.As(err, &conflict):
		writeError(w, http.StatusConflict, dottermessage.ErrorAnswer{
			Outcome: dotteroutcome.NotRun, Reason: "Conflict", Error: err.Error(), Conflict: conflict,
		})
	case errors.As(err, &faults), errors.Is(err, dotterconfig.ErrUnknownItem):
		writeFaults(w, err)
	case errors.Is(err, dotterelusher.ErrStoreIndeterminate):
		writeError(w, http.StatusGatewayTimeout, dottermessage.ErrorAnswer{
			Outcome: dotteroutcome.Unknown, Reason: "StoreUnknown", Error: err.Error(), RetryAfterMillis: editRetryAfter,
		})
	default:
		writeError(w, http.StatusServiceUnavailable, dottermessage.ErrorAnswer{
			Outcome: dotteroutcome.NotRun, Reason: "StoreAway", Error: err.Error(), RetryAfterMillis: editRetryAfter,
		})
	}
}

func (o *OperatorAPI) decisions(w http.ResponseWriter, r *http.Request) {
	count, err := strconv.Atoi(r.URL.Query().Get("Count"))
	if err != nil || count < 1 {
		count = defaultDecisions
	}
	writeJSON(w, http.StatusOK, o.options.Decisions.Newest(count))
}

func (o *OperatorAPI) usage(w http.ResponseWriter, r *http.Request) {
	usage, err := o.options.Usage(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, dottermessage.ErrorAnswer{
			Outcome: dotteroutcome.NotRun, Reason: "Unavailable", Error: err.Error(), RetryAfterMillis: editRetryAfter,
		})
		return
	}
	writeJSON(w, http.StatusOK, usage)
}
