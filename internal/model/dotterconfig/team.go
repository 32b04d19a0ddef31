package dotterconfig

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// Team is a group of callers within a partner.
type Team struct {
	Name    string
	Partner string
	Weight  float64         // relative weight among the partner's teams when they divide its share, above 0
	Quota   dotterroom.Room // maximum that its tasks hold at a time; a zero component sets no limit
}
