package dottertasks

import (
	"context"
	"errors"

	"go.uber.org/zap"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// refreshLayouts reads the layouts and writes what is missing: racks of this
// host's failure domain, and the layouts of domains that have none. Idempotency
// keys map to the shards of all domains, so a domain without entry hosts needs a
// layout too.
func (s *Service) refreshLayouts(ctx context.Context, now dotterclock.Millis) {
	document, ok := s.options.Configuration.Current()
	if !ok || now < s.nextLayoutRead && !s.needsLayoutUpdate(document) {
		return
	}
	entries, _, err := s.options.Store.List(ctx, dottershard.LayoutPrefix)
	if err != nil {
		return
	}
	s.nextLayoutRead = now + s.timing.LayoutInterval
	versions := make(map[string]dotterkey.Version)
	for _, e := range entries {
		layout, err := dottershard.DecodeLayout(e.Value)
		if err != nil {
			s.logger().Error("Cannot decode shard layout", zap.String("Key", e.Key), zap.Error(err))
			continue
		}
		s.setLayout(layout)
		versions[layout.FailureDomain] = e.Version
	}
	for _, domain := range document.FailureDomains {
		version, known := versions[domain.Name]
		if !known || domain.Name == s.options.FailureDomain {
			s.extendLayout(ctx, domain, version)
		}
	}
}

func (s *Service) setLayout(layout dottershard.Layout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.layouts[layout.FailureDomain] = layout
}

// extendLayout writes a domain's layout if it is new or lacks a rack. After an
// error the layouts are read again, which resolves a conflict or a lost answer.
func (s *Service) extendLayout(ctx context.Context, domain dotterconfig.FailureDomain, version dotterkey.Version) {
	layout, known := s.layout(domain.Name)
	if !known {
		layout = dottershard.NewLayout(domain.Name, domain.ShardCount())
	}
	extended, changed := layout.WithRacks(s.listedRacks(domain.Name))
	if known && !changed {
		return
	}
	_, err := s.options.Store.Put(ctx, extended.Key(), extended.Encode(), version, "")
	if err == nil {
		s.setLayout(extended)
		return
	}
	s.nextLayoutRead = 0
	if !errors.Is(err, dotterelusher.ErrStoreConflict) {
		s.logger().Warn("Cannot write shard layout", zap.Error(err))
	}
}

func (s *Service) listedRacks(failureDomain string) []string {
	var racks []string
	for _, h := range s.options.Directory.Hosts() {
		if h.Role == dotterhost.RoleWorker && h.FailureDomain == failureDomain {
			racks = append(racks, h.Rack)
		}
	}
	return racks
}

// needsLayoutUpdate reports whether a layout is missing or the layout of this
// host's failure domain lacks a rack.
func (s *Service) needsLayoutUpdate(document dotterconfig.Document) bool {
	if !s.hasAllLayouts(document) {
		return true
	}
	layout, known := s.layout(s.options.FailureDomain)
	if !known {
		return false
	}
	_, changed := layout.WithRacks(s.listedRacks(s.options.FailureDomain))
	return changed
}

// hasAllLayouts reports whether the layout of every failure domain is known.
func (s *Service) hasAllLayouts(document dotterconfig.Document) bool {
	for _, domain := range document.FailureDomains {
		if _, known := s.layout(domain.Name); !known {
			return false
		}
	}
	return true
}

// ownsWorker reports whether worker belongs to shard.
func (s *Service) ownsWorker(shard dottershard.Name, worker dotterhost.Host) bool {
	if worker.FailureDomain != shard.FailureDomain {
		return false
	}
	layout, known := s.layout(shard.FailureDomain)
	return known && layout.Owns(shard.Number, worker.Rack)
}
