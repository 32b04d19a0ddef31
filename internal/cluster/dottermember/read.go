package dottermember

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// methodAddresses is the method by which peers fetch the addresses to dial.
const methodAddresses = "Membership.Addresses"

// readRecords reads the records of all failure domains, adopts the one of this
// failure domain, and passes the members' addresses to the mesh. If the store
// does not answer, it fetches the addresses from a peer, since a process that
// started while the store was unavailable knows only its seeds.
func (m *Membership) readRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	entries, _, err := m.store.List(ctx, keyPrefix)
	if err != nil {
		m.logger.Debug("cannot read the records", zap.Error(err))
		m.fetchAddresses()
		return
	}
	var addresses []string
	for _, e := range entries {
		addresses = append(addresses, m.adoptEntry(e)...)
	}
	m.setAddresses(addresses)
}

// setAddresses makes the mesh dial addresses and those in this failure domain's
// record.
func (m *Membership) setAddresses(addresses []string) {
	m.mu.Lock()
	m.addresses = addresses
	m.mu.Unlock()
	m.mesh.SetAddresses(m.knownAddresses())
}

// fetchAddresses adds the addresses known to a random peer to those that the mesh dials.
func (m *Membership) fetchAddresses() {
	live := m.mesh.Live()
	if len(live) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(m.tomb.Context(context.Background()), storeTimeout.Duration())
	defer cancel()
	var fetched []string
	if err := m.mesh.Call(ctx, live[rand.N(len(live))].Name, methodAddresses, nil, &fetched); err != nil {
		return
	}
	m.setAddresses(append(m.knownAddresses(), fetched...))
}

// knownAddresses returns the addresses in the records that were last read, sorted
// and without duplicates. The current record of this failure domain is included
// separately, since it may be newer than the last read of all records.
func (m *Membership) knownAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := slices.Clone(m.addresses)
	for _, member := range m.record.Current.Members {
		known = append(known, member.Address)
	}
	slices.Sort(known)
	return slices.Compact(known)
}

func (m *Membership) handleAddresses(context.Context, string, json.RawMessage) (any, error) {
	return m.knownAddresses(), nil
}

// adoptEntry returns the addresses in the record stored in e, and adopts the
// record if it belongs to this failure domain.
func (m *Membership) adoptEntry(e dotterkey.Entry) []string {
	var record Record
	if err := json.Unmarshal(e.Value, &record); err != nil {
		m.logger.Error("cannot decode a membership record", zap.String("Key", e.Key), zap.Error(err))
		return nil
	}
	if e.Key == m.key() {
		m.adopt(record)
	}
	addresses := make([]string, len(record.Current.Members))
	for i, member := range record.Current.Members {
		addresses[i] = member.Address
	}
	return addresses
}

// readRecord adopts the record in the store or, if the store cannot be read, the
// records of peers. It is called when a peer has adopted a later epoch.
func (m *Membership) readRecord(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	record, _, err := m.read(bounded)
	if err == nil {
		m.adopt(record)
		return
	}
	m.fetchRecord(ctx)
}

// fetchRecord fetches the record from the peers of this failure domain.
func (m *Membership) fetchRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	for _, p := range m.mesh.Live() {
		if p.FailureDomain != m.domain {
			continue
		}
		var record Record
		if err := m.mesh.Call(ctx, p.Name, methodRecord, nil, &record); err == nil {
			m.adopt(record)
		}
	}
}
