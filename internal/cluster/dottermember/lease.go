package dottermember

import (
	"context"
	"errors"
	"strconv"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// alivePrefix is the prefix of the keys that live as long as a process's lease;
// the failure domain, the host and the incarnation follow.
const alivePrefix = "alive/"

func (k *Membership) alivePrefix() string {
	return alivePrefix + k.domain + "/"
}

// aliveKey returns the key under m's lease.
func (k *Membership) aliveKey(m Member) string {
	return k.alivePrefix() + m.Host + "/" + strconv.FormatInt(m.Incarnation, 10)
}

// keepLease keeps a key in the store for as long as this process can renew it.
func (k *Membership) keepLease() error {
	ctx := k.tomb.Context(context.Background())
	var lease dotterkey.LeaseID
	var held Member
	for {
		k.mu.Lock()
		self := k.self
		k.mu.Unlock()
		if lease == "" || held != self {
			lease, held = k.grant(ctx, self), self
		} else if k.lapsedOnRenewal(ctx, lease) {
			lease = k.grant(ctx, self)
		}
		select {
		case <-k.tomb.Dying():
			k.revoke(lease)
			return nil
		case <-k.clock.After(k.settings.LeaseSpan / 3):
		}
	}
}

// grant returns a new lease that holds m's key, or "" if that failed.
func (k *Membership) grant(ctx context.Context, m Member) dotterkey.LeaseID {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	lease, err := k.store.Grant(ctx, k.settings.LeaseSpan)
	if err != nil {
		k.logger.Debug("granting the lease", zap.Error(err))
		return ""
	}
	version := dotterkey.Version(0)
	if e, err := k.store.Get(ctx, k.aliveKey(m)); err == nil {
		version = e.Version
	}
	if _, err := k.store.Put(ctx, k.aliveKey(m), []byte(m.Address), version, lease); err != nil {
		k.logger.Debug("writing the lease's key", zap.Error(err))
		return ""
	}
	return lease
}

// lapsedOnRenewal renews the lease and reports whether it has lapsed.
func (k *Membership) lapsedOnRenewal(ctx context.Context, lease dotterkey.LeaseID) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	err := k.store.Renew(ctx, lease)
	if err != nil {
		k.logger.Debug("renewing the lease", zap.Error(err))
	}
	return errors.Is(err, dotterelusher.ErrStoreLeaseLapsed)
}

// revoke ends the lease so that others need not wait for it to lapse.
func (k *Membership) revoke(lease dotterkey.LeaseID) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Duration())
	defer cancel()
	if err := k.store.Revoke(ctx, lease); err != nil {
		k.logger.Debug("revoking the lease", zap.Error(err))
	}
}
