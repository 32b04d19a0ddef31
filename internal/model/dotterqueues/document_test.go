package dotterqueues

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFindReturnsLongestPrefix(t *testing.T) {
	d := NewDocument(1, []Queue{
		{Host: "a.example", Prefix: "/x/"},
		{Host: "a.example", Prefix: "/x/y/"},
		{Host: "b.example", Prefix: "/"},
	}, nil, Limits{})
	tests := map[string]struct {
		host, path string
		want       string // name of the queue; empty if none matches
	}{
		"single match":  {host: "a.example", path: "/x/1", want: "a.example/x/"},
		"longer prefix": {host: "a.example", path: "/x/y/1", want: "a.example/x/y/"},
		"root prefix":   {host: "b.example", path: "/anything", want: "b.example/"},
		"another path":  {host: "a.example", path: "/z/1"},
		"another host":  {host: "c.example", path: "/x/1"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q, ok := d.Find(tc.host, tc.path)
			assert.Equal(t, tc.want != "", ok)
			assert.Equal(t, tc.want, q.Name())
		})
	}
}
