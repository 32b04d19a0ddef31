package dotterboard

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

// maxSlopeAge is the age up to which a cached slope is used. The interference model learns over
// seconds, and a plan asks for the same few hundred pairs of images for each worker.
const maxSlopeAge = 100 * dotterclock.Millisecond

// maxCachedImages bounds the table of slopes. Callers name the images, and may name new ones
// for as long as the owner lives.
const maxCachedImages = 256

// slopeCache holds the slopes that plans have asked for lately, by the numbers of the images.
type slopeCache struct {
	epoch   int            // counts how often the numbers were given anew
	numbers map[string]int // of images, from 0 on
	at      dotterclock.Millis
	slopes  [][]cachedSlope // by serving image, then by filling image
}

type cachedSlope struct {
	dotterinterference.Estimate
	known bool
}

// number returns the number of the step's image.
func (c *slopeCache) number(s *step) int {
	if s.imageEpoch != c.epoch || c.numbers == nil {
		if c.numbers == nil {
			c.epoch, c.numbers = c.epoch+1, map[string]int{}
		}
		n, ok := c.numbers[s.Image]
		if !ok {
			n = len(c.numbers)
			c.numbers[s.Image] = n
		}
		s.imageNumber, s.imageEpoch = n, c.epoch
	}
	return s.imageNumber
}

// slot returns where the slope of a pair of images is cached.
func (c *slopeCache) slot(now dotterclock.Millis, victim, aggressor *step) *cachedSlope {
	if len(c.numbers) >= maxCachedImages {
		c.numbers, c.slopes = nil, nil
	}
	if now-c.at > maxSlopeAge {
		c.at = now
		for _, row := range c.slopes {
			clear(row)
		}
	}
	v, a := c.number(victim), c.number(aggressor)
	for len(c.slopes) <= v {
		c.slopes = append(c.slopes, nil)
	}
	if len(c.slopes[v]) <= a {
		c.slopes[v] = append(c.slopes[v], make([]cachedSlope, len(c.numbers)-len(c.slopes[v]))...)
	}
	return &c.slopes[v][a]
}

// slope returns the load that tasks of the aggressor add to one of the victim per whole worker
// of processor time that they use, as of maxSlopeAge ago at most.
func (b *Board) slope(now dotterclock.Millis, victim, aggressor *step) dotterinterference.Estimate {
	slot := b.slopes.slot(now, victim, aggressor)
	if !slot.known {
		*slot = cachedSlope{Estimate: b.learned.slope(now, victim.task(0), aggressor.Image), known: true}
	}
	return slot.Estimate
}
