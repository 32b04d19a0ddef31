package dotterexchange

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// forcedForwardLimit is how many requests may be in flight to a peer that reports
// fewer free slots, if this failure domain can't serve them at all.
const forcedForwardLimit = 8

// ForwarderOptions holds the dependencies of a Forwarder.
type ForwarderOptions struct {
	FailureDomain string
	Clock         dotterelusher.Clock
	Peers         dotterelusher.Peers
	Configuration dotterelusher.Configuration
	Client        dotterelusher.BackendClient // sends to the callers' API of peers
}

// Forwarder forwards requests to entry hosts of other failure domains.
type Forwarder struct {
	options ForwarderOptions

	mu         sync.Mutex
	inFlight   map[string]int // forwarded requests without an answer yet, by peer
	candidates []dotterelusher.Peer
}

// NewForwarder returns a forwarder.
func NewForwarder(options ForwarderOptions) *Forwarder {
	return &Forwarder{options: options, inFlight: make(map[string]int)}
}

// choose returns a peer with a free slot, and a function to call when the request
// has ended. With force, a peer that reports no free slot is eligible too.
func (f *Forwarder) choose(force bool) (peer dotterelusher.Peer, done func(), ok bool) {
	document, ok := f.options.Configuration.Current()
	if !ok {
		return peer, nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.candidates = f.candidates[:0]
	for _, p := range f.options.Peers.Live() {
		if f.eligible(p, document) && f.capacityLocked(p, force) > 0 {
			f.candidates = append(f.candidates, p)
		}
	}
	if len(f.candidates) == 0 {
		return peer, nil, false
	}
	f.preferRegionLocked(document)
	peer = f.pickLocked(force)
	f.inFlight[peer.Name]++
	return peer, func() { f.forwardEnded(peer.Name) }, true
}

// eligible reports whether requests may be forwarded to p, regardless of its load.
func (f *Forwarder) eligible(p dotterelusher.Peer, document dotterconfig.Document) bool {
	if p.Leaving || p.CallerAddress == "" {
		return false
	}
	return p.FailureDomain != f.options.FailureDomain && !document.DomainOut(p.FailureDomain)
}

// preferRegionLocked removes candidates outside this host's region if there are any
// inside it. Other regions have a higher latency, and the network between regions
// can be partitioned.
func (f *Forwarder) preferRegionLocked(document dotterconfig.Document) {
	otherRegion := func(p dotterelusher.Peer) bool {
		return !document.SameRegion(p.FailureDomain, f.options.FailureDomain)
	}
	sameRegion := slices.DeleteFunc(slices.Clone(f.candidates), otherRegion)
	if len(sameRegion) > 0 {
		f.candidates = append(f.candidates[:0], sameRegion...)
	}
}

// pickLocked takes two candidates at random and returns the one with more capacity
// left.
func (f *Forwarder) pickLocked(force bool) dotterelusher.Peer {
	a := f.candidates[rand.IntN(len(f.candidates))]
	b := f.candidates[rand.IntN(len(f.candidates))]
	if f.capacityLocked(b, force) > f.capacityLocked(a, force) {
		return b
	}
	return a
}

// capacityLocked returns how many more requests may be forwarded to p now.
func (f *Forwarder) capacityLocked(p dotterelusher.Peer, force bool) int {
	limit := p.FreeSlots
	if force {
		limit = max(limit, forcedForwardLimit)
	}
	return limit - f.inFlight[p.Name]
}

func (f *Forwarder) forwardEnded(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight[name]--
	if f.inFlight[name] == 0 {
		delete(f.inFlight, name)
	}
}

// send forwards the request to peer and returns the answer and outcome of that
// host. The refusal is NotRun if nothing was sent, and Unknown if the answer is
// incomplete or has no outcome.
func (f *Forwarder) send(ctx context.Context, request dotterrequest.Request, peer dotterelusher.Peer, limit int) (dotterrequest.Answer, *dotterrequest.Refusal) {
	ctx, cancel := context.WithCancelCause(ctx)
	outgoing := request.ForPeer(peer.CallerAddress, f.options.Clock.Now()).WithContext(ctx)
	host := dotterhost.Host{Name: peer.Name, Address: peer.CallerAddress}
	response, err := f.options.Client.Send(host, outgoing)
	if err != nil {
		cancel(nil)
		return dotterrequest.Answer{}, refusalOf(err)
	}
	answer, err := readAnswer(response, limit)
	if err != nil {
		cancel(nil)
		return dotterrequest.Answer{}, refusalOf(err)
	}
	if answer.Complete() {
		cancel(nil)
	} else {
		answer.Rest = &streamedBody{body: answer.Rest, cancel: cancel}
	}
	outcome, ok := outcomeOf(response.Header)
	if !ok {
		answer.Close()
		return dotterrequest.Answer{}, dotterrequest.Unknown(dotterrequest.ReasonAnswerLost, "the peer's answer has no outcome")
	}
	answer.Outcome = outcome
	answer.Header = dotterrequest.BackendHeaders(response.Header)
	answer.Target = peer.Name
	return answer, nil
}

func outcomeOf(header http.Header) (dotteroutcome.Outcome, bool) {
	outcome := dotteroutcome.Outcome(header.Get(dotteroutcome.Header))
	switch outcome {
	case dotteroutcome.Done, dotteroutcome.NotRun, dotteroutcome.Unknown:
		return outcome, true
	}
	return "", false
}
