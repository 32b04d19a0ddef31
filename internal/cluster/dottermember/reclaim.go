package dottermember

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// reclaim marks members gone whose lease has lapsed and whom the host list has
// not shown for longer than its lag.
func (k *Membership) reclaim(ctx context.Context) {
	suspects := slices.DeleteFunc(k.suspects(), func(m Member) bool { return !k.unlisted(m) })
	if len(suspects) == 0 {
		return
	}
	lapsed, err := k.lapsed(ctx, suspects)
	if err != nil {
		k.logger.Debug("reading the leases", zap.Error(err))
		return
	}
	for _, m := range lapsed {
		k.logger.Warn("member is proved gone", zap.String("Host", m.Host), zap.Int64("Incarnation", m.Incarnation))
		if err := k.change(ctx, kindReclaim, func(r Record) Record { return r.WithGone(m) }); err != nil {
			k.logger.Debug("reclaiming a share", zap.Error(err))
		}
	}
}

// suspects returns the members to which there is no link.
func (k *Membership) suspects() []Member {
	live := k.mesh.Live()
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.DeleteFunc(k.record.awaited(), func(m Member) bool {
		linked := func(p dotterelusher.Peer) bool { return p.Name == m.Host }
		return m == k.self || slices.ContainsFunc(live, linked)
	})
}

// unlisted reports whether the host list proves that m's host is gone. What the
// list showed before m was known counts for nothing: a new host serves for a
// while before its row appears.
func (k *Membership) unlisted(m Member) bool {
	since, until, absent := k.directory.Absence(m.Host)
	k.mu.Lock()
	defer k.mu.Unlock()
	seenAt, known := k.seenAt[m]
	return absent && known && provedUnlisted(since, until, seenAt, k.settings.ListLag)
}

// provedUnlisted reports whether an absence from since until, of a member known
// since seenAt, is longer than lag.
func provedUnlisted(since, until, seenAt, lag dotterclock.Millis) bool {
	return until-max(since, seenAt) > lag
}

// lapsed returns those of members whose leases hold no key any more.
func (k *Membership) lapsed(ctx context.Context, members []Member) ([]Member, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	entries, _, err := k.store.List(ctx, k.alivePrefix())
	if err != nil {
		return nil, err
	}
	alive := map[string]bool{}
	for _, e := range entries {
		alive[e.Key] = true
	}
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return alive[k.aliveKey(m)] }), nil
}
