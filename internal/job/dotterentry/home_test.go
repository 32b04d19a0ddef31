package dotterentry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestHomeValue guards against a changed value of jobs without a tenant, which hosts of earlier
// versions read, and against a value that is taken for a job of nobody.
func TestHomeValue(t *testing.T) {
	tests := map[string]struct {
		home  Home
		value string
	}{
		"no tenant":       {Home{Shard: "all"}, "all"},
		"a tenant":        {Home{Shard: "a-0", Tenant: "kaje80"}, `{"Shard":"a-0","Tenant":"kaje80"}`},
		"a tenant's text": {Home{Shard: "a", Tenant: `n"}/`}, `{"Shard":"a","Tenant":"n\"}/"}`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.value, string(tc.home.Value()))
			h, err := ParseHome([]byte(tc.value))
			assert.NoError(t, err)
			assert.Equal(t, tc.home, h)
		})
	}
	for _, value := range []string{"{", "{}", `{"Shard":"a"}`, `{"Tenant":"north"}`, `{"Shard":1}`} {
		_, err := ParseHome([]byte(value))
		assert.ErrorIs(t, err, ErrHomeInvalid, value)
	}
}
