package dotterconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

func validDocument() Document {
	return Document{
		Revision:       7,
		Partners:       []Partner{{Name: "north", SharePercent: 60}, {Name: "south", SharePercent: 40}},
		Teams:          []Team{{Name: "impact", Partner: "north", Weight: 1}},
		FailureDomains: []FailureDomain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Templates: []Template{
			{Name: "refresh", Team: "impact", Kind: KindService, TimeoutMillis: 500},
			{Name: "reweigh", Team: "impact", Kind: KindTask, Size: dotterroom.Room{MilliCores: 1000}},
		},
	}
}

func newEdit(t *testing.T, item string, before, after any) Edit {
	e, err := NewEdit(item, before, after)
	require.NoError(t, err)
	return e
}

func TestCheckReportsFieldAndProblem(t *testing.T) {
	tests := map[string]struct {
		change func(*Document)
		want   string
	}{
		"split":            {func(d *Document) { d.Partners[0].SharePercent = 50 }, "/Partners: the partners' shares sum to 90 percent"},
		"unknown partner":  {func(d *Document) { d.Teams[0].Partner = "x" }, `/Teams/0/Partner: there is no partner "x"`},
		"unknown team":     {func(d *Document) { d.Templates[1].Team = "x" }, `/Templates/1/Team: there is no team "x"`},
		"no timeout":       {func(d *Document) { d.Templates[0].TimeoutMillis = 0 }, "/Templates/0/TimeoutMillis: a service needs a timeout"},
		"no size":          {func(d *Document) { d.Templates[1].Size = dotterroom.Room{} }, "/Templates/1/Size: a task needs a size"},
		"hedge":            {func(d *Document) { d.Templates[0].Hedge = true }, "/Templates/0/Hedge: only repeatable"},
		"rank":             {func(d *Document) { d.Templates[0].Rank = 101 }, "/Templates/0/Rank: 101 is out of range, allowed is 0 to 100"},
		"twice":            {func(d *Document) { d.Templates[1].Name = "refresh" }, `/Templates/1/Name: "refresh" stands twice`},
		"rule":             {func(d *Document) { d.Templates[0].KeyedOutage = "Maybe" }, `/Templates/0/KeyedOutage: "Maybe" is not allowed`},
		"no domain":        {func(d *Document) { d.FailureDomains = nil }, "/FailureDomains: at least one failure domain is needed"},
		"weight":           {func(d *Document) { d.Teams[0].Weight = 0 }, "/Teams/0/Weight: 0 is out of range"},
		"negative quota":   {func(d *Document) { d.Teams[0].Quota.MemoryMB = -1 }, "/Teams/0/Quota/MemoryMB: -1 is out of range"},
		"too many shards":  {func(d *Document) { d.FailureDomains[1].Shards = 65 }, "/FailureDomains/1/Shards: 65 is out of range, allowed is 0 to 64 shards"},
		"draining no name": {func(d *Document) { d.Draining = []string{""} }, "/Draining/0"},
	}
	require.NoError(t, validDocument().Check())
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := validDocument()
			tc.change(&d)
			assert.ErrorContains(t, d.Check(), tc.want)
		})
	}
}

func TestWithEditsIncrementsRevision(t *testing.T) {
	d := validDocument()
	next, err := d.WithEdits("c1", "ana", []Edit{
		newEdit(t, "FailureDomains/a", d.FailureDomains[0], FailureDomain{Name: "a", Region: "r", Out: true}),
		newEdit(t, "Draining/w1", nil, "w1"),
	})
	require.NoError(t, err)
	assert.Equal(t, int64(8), next.Revision)
	assert.True(t, next.DomainOut("a"))
	assert.True(t, next.IsDraining("w1"))
	assert.False(t, d.DomainOut("a"), "WithEdits must not modify its receiver")
}

func TestWithEditsRejectsConflict(t *testing.T) {
	d := validDocument()
	seen := d.Templates[0]
	d.Templates[0].Rank = 9
	wanted := seen
	wanted.Rank = 3
	_, err := d.WithEdits("c1", "ana", []Edit{newEdit(t, "Templates/refresh", seen, wanted)})
	var conflict *Conflict
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, int64(7), conflict.Revision)
	assert.Contains(t, string(conflict.Current), `"Rank":9`)
}

func TestWithEditsRejectsInvalidResult(t *testing.T) {
	d := validDocument()
	_, err := d.WithEdits("c1", "ana", []Edit{newEdit(t, "Partners", d.Partners, []Partner{{Name: "north", SharePercent: 10}})})
	assert.ErrorContains(t, err, "sum to 10 percent")
}

func TestWithEditsRejectsUnknownField(t *testing.T) {
	d := validDocument()
	e := Edit{Item: "Templates/new", After: []byte(`{"Name":"new","Colour":"red"}`)}
	_, err := d.WithEdits("c1", "ana", []Edit{e})
	assert.ErrorContains(t, err, "/Colour: there is no such field")
}

func TestDifferenceTurnsOneDocumentIntoTheOther(t *testing.T) {
	d := validDocument()
	o := validDocument()
	o.Templates = o.Templates[1:]
	o.Draining = []string{"w9"}
	o.Partners = []Partner{{Name: "north", SharePercent: 100}}
	edits, err := d.Difference(o)
	require.NoError(t, err)
	assert.Len(t, edits, 3)
	next, err := d.WithEdits("c", "ana", edits)
	require.NoError(t, err)
	assert.Equal(t, o.Templates, next.Templates)
	assert.Equal(t, o.Draining, next.Draining)
	assert.Equal(t, o.Partners, next.Partners)
}

func FuzzApply(f *testing.F) {
	f.Add("Templates/x", []byte("null"), []byte(`{"Name":"x"}`))
	f.Add("Partners", []byte("[]"), []byte("[{]"))
	f.Fuzz(func(t *testing.T, item string, before, after []byte) {
		next, err := validDocument().WithEdits("c", "ana", []Edit{{Item: item, Before: before, After: after}})
		if err == nil {
			assert.NoError(t, next.Check())
		}
	})
}
