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

// leastForwards is how many requests may be on the way to a peer that reported
// no free slot, when this domain can't serve them at all.
const leastForwards = 8

// ForwarderOptions is what a Forwarder works with.
type ForwarderOptions struct {
	FailureDomain string
	Clock         dotterelusher.Clock
	Peers         dotterelusher.Peers
	Configuration dotterelusher.Configuration
	Client        dotterelusher.BackendClient // connections to the peers' callers' API
}

// Forwarder sends requests to entry hosts of other failure domains.
type Forwarder struct {
	options ForwarderOptions

	mu     sync.Mutex
	onWay  map[string]int // requests on the way, by peer
	picked []dotterelusher.Peer
}

// NewForwarder returns a forwarder.
func NewForwarder(options ForwarderOptions) *Forwarder {
	return &Forwarder{options: options, onWay: make(map[string]int)}
}

// choose returns a peer that has room, and a function to call when the request
// has ended. With always, a peer that reports no free slot will do as well.
func (f *Forwarder) choose(always bool) (peer dotterelusher.Peer, done func(), ok bool) {
	document, ok := f.options.Configuration.Current()
	if !ok {
		return peer, nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picked = f.picked[:0]
	for _, p := range f.options.Peers.Live() {
		if f.suits(p, document) && f.roomLocked(p, always) > 0 {
			f.picked = append(f.picked, p)
		}
	}
	if len(f.picked) == 0 {
		return peer, nil, false
	}
	f.keepNearLocked(document)
	peer = f.roomierLocked(always)
	f.onWay[peer.Name]++
	return peer, func() { f.ended(peer.Name) }, true
}

// suits reports whether requests may be forwarded to p at all.
func (f *Forwarder) suits(p dotterelusher.Peer, document dotterconfig.Document) bool {
	if p.Leaving || p.CallerAddress == "" {
		return false
	}
	return p.FailureDomain != f.options.FailureDomain && !document.DomainOut(p.FailureDomain)
}

// keepNearLocked keeps only peers of this host's region if there are any: the way
// to another region is long, and regions lose each other.
func (f *Forwarder) keepNearLocked(document dotterconfig.Document) {
	far := func(p dotterelusher.Peer) bool {
		return !document.SameRegion(p.FailureDomain, f.options.FailureDomain)
	}
	near := slices.DeleteFunc(slices.Clone(f.picked), far)
	if len(near) > 0 {
		f.picked = append(f.picked[:0], near...)
	}
}

// roomierLocked returns the one with more room of two peers taken at random.
func (f *Forwarder) roomierLocked(always bool) dotterelusher.Peer {
	a := f.picked[rand.IntN(len(f.picked))]
	b := f.picked[rand.IntN(len(f.picked))]
	if f.roomLocked(b, always) > f.roomLocked(a, always) {
		return b
	}
	return a
}

// roomLocked returns how many more requests may be on the way to p.
func (f *Forwarder) roomLocked(p dotterelusher.Peer, always bool) int {
	room := p.FreeSlots
	if always {
		room = max(room, leastForwards)
	}
	return room - f.onWay[p.Name]
}

func (f *Forwarder) ended(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onWay[name]--
	if f.onWay[name] == 0 {
		delete(f.onWay, name)
	}
}

// send forwards the request to peer and returns what that host says. Nothing
// sent means NotRun; no whole answer means Unknown.
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
		answer.Rest = &rest{body: answer.Rest, cancel: cancel}
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
