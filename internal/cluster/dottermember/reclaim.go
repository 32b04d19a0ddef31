package dottermember

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// reclaim marks members as gone whose lease has expired and whose host has been
// absent from the host list for longer than the list's lag.
func (m *Membership) reclaim(ctx context.Context) {
	suspects := slices.DeleteFunc(m.suspects(), func(member Member) bool { return !m.provedUnlisted(member) })
	if len(suspects) == 0 {
		return
	}
	expired, err := m.withExpiredLease(ctx, suspects)
	if err != nil {
		m.logger.Debug("cannot read the leases", zap.Error(err))
		return
	}
	for _, member := range expired {
		m.logger.Warn("member is proved gone", zap.String("Host", member.Host), zap.Int64("Incarnation", member.Incarnation))
		if err := m.change(ctx, kindReclaim, func(r Record) Record { return r.WithGone(member) }); err != nil {
			m.logger.Debug("cannot reclaim the share", zap.Error(err))
		}
	}
}

// suspects returns the other members to which the mesh has no link.
func (m *Membership) suspects() []Member {
	live := m.mesh.Live()
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(m.record.notGone(), func(member Member) bool {
		linked := func(p dotterelusher.Peer) bool { return p.Name == member.Host }
		return member == m.self || slices.ContainsFunc(live, linked)
	})
}

// provedUnlisted reports whether the host list proves that member's host is gone.
// Reads of the list before member was first seen do not count, because a new host
// runs for a while before it is listed.
func (m *Membership) provedUnlisted(member Member) bool {
	since, until, absent := m.directory.Absence(member.Host)
	m.mu.Lock()
	defer m.mu.Unlock()
	firstSeen, known := m.firstSeen[member]
	return absent && known && absenceExceedsLag(since, until, firstSeen, m.settings.ListLag)
}

// absenceExceedsLag reports whether the part of the absence [since, until] after
// firstSeen is longer than lag.
func absenceExceedsLag(since, until, firstSeen, lag dotterclock.Millis) bool {
	return until-max(since, firstSeen) > lag
}

// withExpiredLease returns those members whose lease has expired, so that their key
// no longer exists.
func (m *Membership) withExpiredLease(ctx context.Context, members []Member) ([]Member, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	entries, _, err := m.store.List(ctx, m.alivePrefix())
	if err != nil {
		return nil, err
	}
	alive := map[string]bool{}
	for _, e := range entries {
		alive[e.Key] = true
	}
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return alive[m.aliveKey(member)] }), nil
}
