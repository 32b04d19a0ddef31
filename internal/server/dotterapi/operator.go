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
	maxOperatorBody  = 1 << 20                // bytes
	defaultDecisions = 50                     // decisions shown when no count is asked for
	editRetryAfter   = 2 * dotterclock.Second // when an edit that the store didn't take is worth repeating, ms
)

// EditFunc changes the configuration by compare-and-swap: it applies change to
// the newest document, again after each lost race, and returns what is stored.
type EditFunc func(ctx context.Context, changeID string, change func(dotterconfig.Document) (dotterconfig.Document, error)) (dotterconfig.Document, error)

// OperatorParts is what the operators' API shows and drives.
type OperatorParts struct {
	Configuration dotterelusher.Configuration
	Edit          EditFunc
	Status        func() dottermessage.StatusAnswer
	Usage         func(context.Context) (dottermessage.UsageAnswer, error)
	Decisions     *dotterlog.Ring
	Metrics       http.Handler
}

// Operator is the operators' API.
type Operator struct {
	parts OperatorParts
}

// NewOperator returns the operators' API over parts.
func NewOperator(parts OperatorParts) *Operator {
	return &Operator{parts: parts}
}

// Handler returns the API's routes.
func (o *Operator) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/status"), o.status)
	mux.HandleFunc(pat.Get("/v1/configuration"), o.configuration)
	mux.HandleFunc(pat.Post("/v1/configuration/edits"), o.edit)
	mux.HandleFunc(pat.Get("/v1/decisions"), o.decisions)
	mux.HandleFunc(pat.Get("/v1/usage"), o.usage)
	mux.Handle(pat.Get("/metrics"), o.parts.Metrics)
	mux.HandleFunc(pat.Get("/healthz"), healthz)
	mux.HandleFunc(pat.Get("/readyz"), o.readyz)
	mux.HandleFunc(pat.Get("/debug/pprof/profile"), pprof.Profile)
	mux.HandleFunc(pat.Get("/debug/pprof/*"), pprof.Index)
	mux.HandleFunc(pat.New("/*"), notFound)
	return mux
}

func (o *Operator) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.parts.Status())
}

func (o *Operator) readyz(w http.ResponseWriter, _ *http.Request) {
	writeReadiness(w, o.parts.Status().NotReady)
}

func (o *Operator) configuration(w http.ResponseWriter, _ *http.Request) {
	document, _ := o.parts.Configuration.Current()
	writeJSON(w, http.StatusOK, document)
}

func (o *Operator) edit(w http.ResponseWriter, r *http.Request) {
	var request dottermessage.EditRequest
	if !readBody(w, r, maxOperatorBody, &request) {
		return
	}
	if request.ChangeID == "" {
		writeFaults(w, &dottercheck.Faults{Source: "body", List: []dottercheck.Fault{{Pointer: "/ChangeID", Problem: "an id is needed"}}})
		return
	}
	change := func(d dotterconfig.Document) (dotterconfig.Document, error) {
		return d.WithEdits(request.ChangeID, request.By, request.Edits)
	}
	stored, err := o.parts.Edit(r.Context(), request.ChangeID, change)
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

func (o *Operator) decisions(w http.ResponseWriter, r *http.Request) {
	count, err := strconv.Atoi(r.URL.Query().Get("Count"))
	if err != nil || count < 1 {
		count = defaultDecisions
	}
	writeJSON(w, http.StatusOK, o.parts.Decisions.Newest(count))
}

func (o *Operator) usage(w http.ResponseWriter, r *http.Request) {
	usage, err := o.parts.Usage(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, dottermessage.ErrorAnswer{
			Outcome: dotteroutcome.NotRun, Reason: "Unavailable", Error: err.Error(), RetryAfterMillis: editRetryAfter,
		})
		return
	}
	writeJSON(w, http.StatusOK, usage)
}
