package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
	"github.com/dotterelusher/dotterelusher/internal/placement/dottersize"
)

// Models holds what is learned of templates. It is safe for concurrent use and
// may be shared by several Placers.
type Models struct {
	Interference *dotterinterference.Model
	Sizes        *dottersize.Sizes
}

// NewModels returns Models without any observations.
func NewModels() *Models {
	return &Models{Interference: dotterinterference.New(0), Sizes: dottersize.New(0)}
}
