package dottermember

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// methodAddresses is the method with which peers learn whom to dial.
const methodAddresses = "Membership.Addresses"

// readAll reads the records of all failure domains, adopts this one's, and
// tells the mesh whom to dial. If the store does not answer, a peer is asked
// whom to dial, which matters to a process that started without the store.
func (k *Membership) readAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	entries, _, err := k.store.List(ctx, keyPrefix)
	if err != nil {
		k.logger.Debug("reading the records", zap.Error(err))
		k.askAddresses()
		return
	}
	var addresses []string
	for _, e := range entries {
		addresses = append(addresses, k.readEntry(e)...)
	}
	k.dial(addresses)
}

// dial makes addresses, and those of this failure domain's record, the ones that
// the mesh dials.
func (k *Membership) dial(addresses []string) {
	k.mu.Lock()
	k.addresses = addresses
	k.mu.Unlock()
	k.mesh.SetAddresses(k.knownAddresses())
}

// askAddresses asks a peer, by chance, whom to dial, and keeps what is known.
func (k *Membership) askAddresses() {
	live := k.mesh.Live()
	if len(live) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(k.tomb.Context(context.Background()), storeTimeout.Duration())
	defer cancel()
	var told []string
	if err := k.mesh.Call(ctx, live[rand.N(len(live))].Name, methodAddresses, nil, &told); err != nil {
		return
	}
	k.dial(append(k.knownAddresses(), told...))
}

// knownAddresses returns the addresses in the records last read. This failure
// domain's record may be newer than the last read of all.
func (k *Membership) knownAddresses() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := slices.Clone(k.addresses)
	for _, m := range k.record.Current.Members {
		known = append(known, m.Address)
	}
	slices.Sort(known)
	return slices.Compact(known)
}

func (k *Membership) answerAddresses(context.Context, string, json.RawMessage) (any, error) {
	return k.knownAddresses(), nil
}

// readEntry returns the addresses in a record, and adopts it if it is this
// failure domain's.
func (k *Membership) readEntry(e dotterkey.Entry) []string {
	var record Record
	if err := json.Unmarshal(e.Value, &record); err != nil {
		k.logger.Error("membership record can't be decoded", zap.String("Key", e.Key), zap.Error(err))
		return nil
	}
	if e.Key == k.key() {
		k.adopt(record)
	}
	addresses := make([]string, len(record.Current.Members))
	for i, m := range record.Current.Members {
		addresses[i] = m.Address
	}
	return addresses
}

// catchUp reads the record because a peer has adopted a later epoch, from the
// store or, if that fails, from a peer.
func (k *Membership) catchUp(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	record, _, err := k.read(bounded)
	if err == nil {
		k.adopt(record)
		return
	}
	k.askRecord(ctx)
}

// askRecord asks the peers of this failure domain for the record.
func (k *Membership) askRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	for _, p := range k.mesh.Live() {
		if p.FailureDomain != k.domain {
			continue
		}
		var record Record
		if err := k.mesh.Call(ctx, p.Name, methodRecord, nil, &record); err == nil {
			k.adopt(record)
		}
	}
}
