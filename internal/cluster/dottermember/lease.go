package dottermember

import (
	"context"
	"errors"
	"strconv"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// alivePrefix is the prefix of the store keys that exist for as long as a
// process's lease. The failure domain, the host and the incarnation follow.
const alivePrefix = "alive/"

func (m *Membership) alivePrefix() string {
	return alivePrefix + m.domain + "/"
}

// aliveKey returns the key that is attached to member's lease.
func (m *Membership) aliveKey(member Member) string {
	return m.alivePrefix() + member.Host + "/" + strconv.FormatInt(member.Incarnation, 10)
}

// maintainLease holds a lease with this process's key, and renews it until Stop.
func (m *Membership) maintainLease() error {
	ctx := m.tomb.Context(context.Background())
	var lease dotterkey.LeaseID
	var held Member
	for {
		m.mu.Lock()
		self := m.self
		m.mu.Unlock()
		if lease == "" || held != self {
			lease, held = m.grant(ctx, self), self
		} else if m.renewReportingExpiry(ctx, lease) {
			lease = m.grant(ctx, self)
		}
		select {
		case <-m.tomb.Dying():
			m.revoke(lease)
			return nil
		case <-m.clock.After(m.settings.LeaseDuration / 3):
		}
	}
}

// grant creates a lease and writes member's key under it. It returns "" on failure.
func (m *Membership) grant(ctx context.Context, member Member) dotterkey.LeaseID {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	lease, err := m.store.Grant(ctx, m.settings.LeaseDuration)
	if err != nil {
		m.logger.Debug("cannot create a lease", zap.Error(err))
		return ""
	}
	version := dotterkey.Version(0)
	if e, err := m.store.Get(ctx, m.aliveKey(member)); err == nil {
		version = e.Version
	}
	if _, err := m.store.Put(ctx, m.aliveKey(member), []byte(member.Address), version, lease); err != nil {
		m.logger.Debug("cannot write the key of the lease", zap.Error(err))
		return ""
	}
	return lease
}

// renewReportingExpiry renews the lease and reports whether it has expired.
func (m *Membership) renewReportingExpiry(ctx context.Context, lease dotterkey.LeaseID) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	err := m.store.Renew(ctx, lease)
	if err != nil {
		m.logger.Debug("cannot renew the lease", zap.Error(err))
	}
	return errors.Is(err, dotterelusher.ErrStoreLeaseExpired)
}

// revoke ends the lease so that other members need not wait for it to expire.
func (m *Membership) revoke(lease dotterkey.LeaseID) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Duration())
	defer cancel()
	if err := m.store.Revoke(ctx, lease); err != nil {
		m.logger.Debug("cannot revoke the lease", zap.Error(err))
	}
}
