package dotterowner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

func TestTasksRunToCompletion(t *testing.T) {
	p := newPool(t, 2)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	ids := p.submit(o, repeat(20, task(true, 500))...)
	for _, id := range ids {
		p.untilState(o, id, dottertask.StateDone, 60*dotterclock.Second)
	}
	p.checkInvariants()
	for _, id := range ids {
		require.Equal(t, 1, p.starts[id])
	}
}
