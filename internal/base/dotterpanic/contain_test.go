package dotterpanic

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestContain(t *testing.T) {
	var missing map[string]int
	cause := errors.New("cause")
	tests := map[string]struct {
		f    func()
		want string // empty: no error
	}{
		"no panic":      {func() {}, ""},
		"value":         {func() { panic("broken") }, "panic: broken"},
		"error":         {func() { panic(cause) }, "panic: cause"},
		"runtime error": {func() { missing["a"] = 1 }, "panic: assignment to entry in nil map"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			contained := Contain(tc.f)
			if tc.want == "" {
				require.Nil(t, contained)
				return
			}
			require.NotNil(t, contained)
			assert.EqualError(t, contained, tc.want)
			assert.Contains(t, contained.Stack, "contain_test.go")
		})
	}
}
