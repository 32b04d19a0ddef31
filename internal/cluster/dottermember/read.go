package dottermember

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// readAll reads the records of all failure domains, adopts this one's, and
// tells the mesh whom to dial.
func (k *Keeper) readAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	entries, _, err := k.store.List(ctx, keyPrefix)
	if err != nil {
		k.logger.Debug("reading the records", zap.Error(err))
		return
	}
	var addresses []string
	for _, e := range entries {
		addresses = append(addresses, k.readEntry(e)...)
	}
	k.mesh.SetAddresses(addresses)
}

// readEntry returns the addresses in a record, and adopts it if it is this
// failure domain's.
func (k *Keeper) readEntry(e dotterkey.Entry) []string {
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
func (k *Keeper) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	record, _, err := k.read(ctx)
	if err == nil {
		k.adopt(record)
		return
	}
	for _, p := range k.mesh.Live() {
		if p.FailureDomain != k.domain {
			continue
		}
		if err := k.mesh.Call(ctx, p.Name, methodRecord, nil, &record); err == nil {
			k.adopt(record)
		}
	}
}
