package dotterlink

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func echo(_ context.Context, args json.RawMessage) (any, error) {
	return args, nil
}

func fail(context.Context, json.RawMessage) (any, error) {
	return nil, errors.New("it failed")
}

func TestCall(t *testing.T) {
	s, err := Listen("127.0.0.1:0", zap.NewNop())
	require.NoError(t, err)
	s.Start(map[string]Method{"Echo": echo, "Fail": fail})
	defer func() { assert.NoError(t, s.Stop()) }()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refusing := closed.Addr().String()
	require.NoError(t, closed.Close())
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections but never answers
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	tests := map[string]struct {
		address, method string
		want            error // nil if the call is answered
	}{
		"answered":        {address: s.Address(), method: "Echo"},
		"failed remotely": {address: s.Address(), method: "Fail", want: ErrRemote},
		"no such method":  {address: s.Address(), method: "None", want: ErrRemote},
		"nothing listens": {address: refusing, method: "Echo", want: ErrRefused},
		"no answer":       {address: silent.Addr().String(), method: "Echo", want: ErrNoAnswer},
		"answered again":  {address: s.Address(), method: "Echo"},
	}
	c := NewClient()
	defer c.Close()
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			var reply string
			err := c.Call(ctx, tc.address, tc.method, "hello", &reply)
			if tc.want != nil {
				assert.ErrorIs(t, err, tc.want)
				return
			}
			assert.NoError(t, err)
			assert.Equal(t, "hello", reply)
		})
	}
}

func TestLinkIsReopened(t *testing.T) {
	s, err := Listen("127.0.0.1:0", zap.NewNop())
	require.NoError(t, err)
	address := s.Address()
	s.Start(map[string]Method{"Echo": echo})
	c := NewClient()
	defer c.Close()
	var reply string
	require.NoError(t, c.Call(t.Context(), address, "Echo", "first", &reply))
	require.NoError(t, s.Stop())
	assert.Error(t, c.Call(t.Context(), address, "Echo", "nobody", &reply))
	again, err := Listen(address, zap.NewNop())
	require.NoError(t, err)
	again.Start(map[string]Method{"Echo": echo})
	defer func() { assert.NoError(t, again.Stop()) }()
	require.NoError(t, c.Call(t.Context(), address, "Echo", "second", &reply))
	assert.Equal(t, "second", reply)
}
