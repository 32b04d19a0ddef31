package dotterconfig

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// Team is a group of callers within a partner.
type Team struct {
	Name    string
	Partner string
	Weight  float64         // part of the partner's share relative to its other teams, above 0
	Quota   dotterroom.Room // most that its tasks hold at a time; a zero component sets no limit
}
