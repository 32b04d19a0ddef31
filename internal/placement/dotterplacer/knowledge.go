package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
	"github.com/dotterelusher/dotterelusher/internal/placement/dottersize"
)

// Knowledge is what is learned of templates; it is safe for concurrent use by several Placers.
type Knowledge struct {
	Interference *dotterinterference.Model
	Sizes        *dottersize.Sizes
}

// NewKnowledge returns a Knowledge that has learned nothing yet.
func NewKnowledge() *Knowledge {
	return &Knowledge{Interference: dotterinterference.New(0), Sizes: dottersize.New(0)}
}
