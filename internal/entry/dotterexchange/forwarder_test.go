package dotterexchange

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// regions is a configuration with the failure domains a and b in one region and c
// in another.
type regions struct {
	dotterelusher.Configuration
	out string // failure domain that is out of service
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

// fixedPeers is a Peers with a fixed list of live peers.
type fixedPeers []dotterelusher.Peer

func (p fixedPeers) Live() []dotterelusher.Peer { return p }

func (fixedPeers) Call(context.Context, string, string, any, any) error { return nil }

func (fixedPeers) Handle(string, dotterelusher.PeerHandler) {}

var _ dotterelusher.Peers = fixedPeers(nil)

func TestForwardPrefersTheSameRegion(t *testing.T) {
	sameRegion := dotterelusher.Peer{Name: "b1", CallerAddress: "127.0.0.1:1", FailureDomain: "b", FreeSlots: 1}
	otherRegion := dotterelusher.Peer{Name: "c1", CallerAddress: "127.0.0.1:1", FailureDomain: "c", FreeSlots: 100}
	tests := map[string]struct {
		peers []dotterelusher.Peer
		out   string
		want  string
	}{
		"free slot in the region":     {peers: []dotterelusher.Peer{sameRegion, otherRegion}, want: "b1"},
		"domain of the region is out": {peers: []dotterelusher.Peer{sameRegion, otherRegion}, out: "b", want: "c1"},
		"no free slot in the region":  {peers: []dotterelusher.Peer{{Name: "b1", CallerAddress: "127.0.0.1:1", FailureDomain: "b"}, otherRegion}, want: "c1"},
		"no peer in the region":       {peers: []dotterelusher.Peer{otherRegion}, want: "c1"},
		"no peer":                     {},
		"only a peer of this domain":  {peers: []dotterelusher.Peer{{Name: "a2", CallerAddress: "127.0.0.1:1", FailureDomain: "a", FreeSlots: 9}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := NewForwarder(ForwarderOptions{FailureDomain: "a", Peers: fixedPeers(tc.peers), Configuration: regions{out: tc.out}})
			peer, _, ok := f.choose(false)
			assert.Equal(t, tc.want != "", ok)
			assert.Equal(t, tc.want, peer.Name)
		})
	}
}
