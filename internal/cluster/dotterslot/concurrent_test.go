package dotterslot

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// TestConcurrentPermits acquires and releases permits while the share grows and
// shrinks and the server is removed and listed again. It guards against permits
// that are lost or counted twice: in the end, all slots must be free.
func TestConcurrentPermits(t *testing.T) {
	const epochs = 300
	ledger := testLedger(dotterclock.NewSystem(), 0)
	members := membersNamed(3)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				slot, gotSlot := ledger.Slot(testServer)
				connection, gotConnection := ledger.Connection(testServer)
				if gotConnection {
					connection.Withdrawn()
					connection.Release()
				}
				if gotSlot {
					slot.Release()
				}
			}
		})
	}
	listed := []dotterhost.Host{{Name: testServer, Slots: 8, Connections: 64}}
	for number := int64(1); number <= epochs; number++ {
		ledger.Adopt(members[0], View{Current: Epoch{number, members[:1+number%3]}})
		ledger.Acknowledge(members[1], number)
		if number%10 == 0 {
			ledger.SetServers(nil)
			ledger.SetServers(listed)
		}
	}
	close(done)
	callers.Wait()
	ledger.Adopt(members[0], View{Current: Epoch{epochs + 1, members[:1]}})
	usable, free := ledger.Slots(testServer)
	require.Equal(t, 8, usable)
	require.Equal(t, 8, free)
	require.True(t, ledger.Drained())
	require.EqualValues(t, epochs+1, ledger.AcknowledgedBy(1))
}
