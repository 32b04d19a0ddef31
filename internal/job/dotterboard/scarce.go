package dotterboard

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// mostScarce bounds the images that others make way for; the cost of a plan grows
	// with them.
	mostScarce = 6
	// scarceCost is what it costs in a worker's score that it would bear all of the
	// waiting images: as much as a high load of its serving tasks.
	scarceCost = 0.4
)

// scarceImage is a filling image whose tasks wait for a worker that bears them.
type scarceImage struct {
	image      string
	milliCores int64   // that one of its tasks declares
	part       float64 // of the processor time that waits, by all scarce images
}

// scarceImages returns the images of the filling tasks that have waited for a while,
// those that wait for most processor time.
func (p *plan) scarceImages(candidates []candidate) []scarceImage {
	type demand struct{ tasks, milliCores int64 }
	demands := map[string]demand{}
	for _, c := range candidates {
		if s := c.step; s.Fills && p.now-s.readyAt > queueSpan {
			d := demands[s.Image]
			d.tasks += int64(s.waiting)
			d.milliCores += int64(s.waiting) * s.Size.MilliCores
			demands[s.Image] = d
		}
	}
	images := slices.SortedFunc(maps.Keys(demands), func(a, b string) int {
		return cmp.Or(cmp.Compare(demands[b].milliCores, demands[a].milliCores), cmp.Compare(a, b))
	})
	images = images[:min(mostScarce, len(images))]
	total := int64(0)
	for _, image := range images {
		total += demands[image].milliCores
	}
	var scarce []scarceImage
	for _, image := range images {
		d := demands[image]
		scarce = append(scarce, scarceImage{image: image, milliCores: d.milliCores / d.tasks, part: float64(d.milliCores) / float64(total)})
	}
	return scarce
}

// wantedBy returns how much of the scarce work of other images than the given one the
// worker would bear, as a part of all of it.
func (p *plan) wantedBy(l *load, image string) float64 {
	wanted := 0.0
	for _, s := range p.scarce {
		if s.image != image && p.bears(l, s) {
			wanted += s.part
		}
	}
	return wanted
}

// bears reports whether the worker could take one more task of the scarce image.
func (p *plan) bears(l *load, s scarceImage) bool {
	bears, ok := l.bears[s.image]
	if !ok {
		highest, _ := p.board.pressedIf(p.now, l, s.image, s.milliCores)
		bears = highest <= loadLoose
		l.bears[s.image] = bears
	}
	return bears
}
