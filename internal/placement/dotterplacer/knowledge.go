package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
	"github.com/dotterelusher/dotterelusher/internal/placement/dottersize"
)

// Models is what is learned of templates; it is safe for concurrent use by several Placers.
type Models struct {
	Interference *dotterinterference.Model
	Sizes        *dottersize.Sizes
}

// NewModels returns a Knowledge that has learned nothing yet.
func NewModels() *Models {
	return &Models{Interference: dotterinterference.New(0), Sizes: dottersize.New(0)}
}
