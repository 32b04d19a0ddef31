package dotterexchange

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// regions is a configuration of two regions: a and b, and c.
type regions struct {
	dotterelusher.Configuration
	out string // failure domain that is out
}

func (r regions) Current() (dotterconfig.Document, bool) {
	document := dotterconfig.Document{FailureDomains: []dotterconfig.FailureDomain{
		{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "south"},
	}}
	for i, f := range document.FailureDomains {
		document.FailureDomains[i].Out = f.Name == r.out
	}
	return document, true
}

// listed is a mesh with fixed peers.
type listed []dotterelusher.Peer

func (l listed) Live() []dotterelusher.Peer { return l }

func (listed) Call(context.Context, string, string, any, any) error { return nil }

func (listed) Handle(string, dotterelusher.PeerHandler) {}

var _ dotterelusher.Peers = listed(nil)

func TestForwardsStayInTheRegionWhileTheyCan(t *testing.T) {
	near := dotterelusher.Peer{Name: "b1", CallerAddress: "127.0.0.1:1", FailureDomain: "b", FreeSlots: 1}
	far := dotterelusher.Peer{Name: "c1", CallerAddress: "127.0.0.1:1", FailureDomain: "c", FreeSlots: 100}
	tests := map[string]struct {
		peers []dotterelusher.Peer
		out   string
		want  string
	}{
		"near has room":      {peers: []dotterelusher.Peer{near, far}, want: "b1"},
		"near is out":        {peers: []dotterelusher.Peer{near, far}, out: "b", want: "c1"},
		"near has no room":   {peers: []dotterelusher.Peer{{Name: "b1", CallerAddress: "127.0.0.1:1", FailureDomain: "b"}, far}, want: "c1"},
		"nobody near":        {peers: []dotterelusher.Peer{far}, want: "c1"},
		"nobody at all":      {},
		"only this domain's": {peers: []dotterelusher.Peer{{Name: "a2", CallerAddress: "127.0.0.1:1", FailureDomain: "a", FreeSlots: 9}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := NewForwarder(ForwarderOptions{FailureDomain: "a", Peers: listed(tc.peers), Configuration: regions{out: tc.out}})
			peer, _, ok := f.choose(false)
			assert.Equal(t, tc.want != "", ok)
			assert.Equal(t, tc.want, peer.Name)
		})
	}
}
