package dotterendpoint

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestClosedEndpointKeepsItsPort checks that a closed endpoint refuses
// connections, keeps its port reserved and can be reopened on it.
func TestClosedEndpointKeepsItsPort(t *testing.T) {
	e := New("127.0.0.1:0", http.NotFoundHandler(), nil)
	require.NoError(t, e.Open())
	c, err := net.Dial("tcp", e.Address())
	require.NoError(t, err)
	defer c.Close()
	for range 3 {
		e.Close()
		_, err = net.Dial("tcp", e.Address())
		require.ErrorIs(t, err, unix.ECONNREFUSED)
		assert.NotEqual(t, noSocket, e.reservation)
		require.NoError(t, e.Open())
		open, err := net.Dial("tcp", e.Address())
		require.NoError(t, err)
		require.NoError(t, open.Close())
	}
	e.Close()
}
