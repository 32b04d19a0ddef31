package dotterservice

import (
	"context"
	"errors"

	"go.uber.org/zap"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// refreshLayouts reads the layouts and adds what this domain's lacks.
func (s *Service) refreshLayouts(ctx context.Context, now dotterclock.Millis) {
	if now < s.layoutsAt && !s.lacksRacks() {
		return
	}
	entries, _, err := s.options.Store.List(ctx, dottershard.LayoutPrefix)
	if err != nil {
		return
	}
	s.layoutsAt = now + s.timing.LayoutRefresh
	var own dotterkey.Entry
	for _, e := range entries {
		layout, err := dottershard.DecodeLayout(e.Value)
		if err != nil {
			s.logger().Error("Layout unreadable", zap.String("Key", e.Key), zap.Error(err))
			continue
		}
		s.setLayout(layout)
		if layout.FailureDomain == s.options.FailureDomain {
			own = e
		}
	}
	s.growLayout(ctx, own.Version)
}

func (s *Service) setLayout(layout dottershard.Layout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.layouts[layout.FailureDomain] = layout
}

// growLayout writes the domain's layout if it is new or lacks a rack. A lost
// answer or a conflict is resolved by the next read.
func (s *Service) growLayout(ctx context.Context, version dotterkey.Version) {
	document, ok := s.options.Configuration.Current()
	if !ok {
		return
	}
	layout, known := s.layout(s.options.FailureDomain)
	if !known {
		domain, configured := document.FailureDomain(s.options.FailureDomain)
		if !configured {
			return
		}
		layout = dottershard.NewLayout(s.options.FailureDomain, domain.ShardCount())
	}
	grown, changed := layout.WithRacks(s.listedRacks())
	if known && !changed {
		return
	}
	_, err := s.options.Store.Put(ctx, grown.Key(), grown.Encode(), version, "")
	if err == nil {
		s.setLayout(grown)
		return
	}
	s.layoutsAt = 0
	if !errors.Is(err, dotterelusher.ErrStoreConflict) {
		s.logger().Warn("Layout not written", zap.Error(err))
	}
}

func (s *Service) listedRacks() []string {
	var racks []string
	for _, h := range s.options.Directory.Hosts() {
		if h.Role == dotterhost.RoleWorker && h.FailureDomain == s.options.FailureDomain {
			racks = append(racks, h.Rack)
		}
	}
	return racks
}

// lacksRacks reports whether the domain's layout is missing or lacks a listed rack.
func (s *Service) lacksRacks() bool {
	layout, known := s.layout(s.options.FailureDomain)
	if !known {
		return true
	}
	_, changed := layout.WithRacks(s.listedRacks())
	return changed
}

// belongs reports whether worker is one of the shard's.
func (s *Service) belongs(shard dottershard.Name, worker dotterhost.Host) bool {
	if worker.FailureDomain != shard.FailureDomain {
		return false
	}
	layout, known := s.layout(shard.FailureDomain)
	return known && layout.Owns(shard.Number, worker.Rack)
}
