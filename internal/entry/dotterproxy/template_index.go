package dotterproxy

import (
	"sync/atomic"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// templateIndex finds templates by name without walking the configuration.
type templateIndex struct {
	current atomic.Pointer[indexedTemplates]
}

// indexedTemplates is the templates of one revision.
type indexedTemplates struct {
	revision  int64
	templates map[string]dotterconfig.Template
}

// find returns the template called name of document.
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
