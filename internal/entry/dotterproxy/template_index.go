package dotterproxy

import (
	"sync/atomic"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// templateIndex caches a map of the templates by name, so that a lookup need not scan
// the configuration.
type templateIndex struct {
	current atomic.Pointer[indexedTemplates]
}

// indexedTemplates maps the templates of one configuration revision by name.
type indexedTemplates struct {
	revision  int64
	templates map[string]dotterconfig.Template
}

// find returns the template of document named name, and rebuilds the index if it is
// of another revision.
func (x *templateIndex) find(document dotterconfig.Document, name string) (dotterconfig.Template, bool) {
	indexed := x.current.Load()
	if indexed == nil || indexed.revision != document.Revision {
		indexed = indexTemplates(document)
		x.current.Store(indexed)
	}
	t, ok := indexed.templates[name]
	return t, ok
}

func indexTemplates(document dotterconfig.Document) *indexedTemplates {
	templates := make(map[string]dotterconfig.Template, len(document.Templates))
	for _, t := range document.Templates {
		templates[t.Name] = t
	}
	return &indexedTemplates{revision: document.Revision, templates: templates}
}
