package chuteleader_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chuterow"
)

// TestTheLeadersRowHasRoomForPendingJobsOfAnyNumberOfQueues guards against a leader's row that the store refuses since jobs of many
// queues wait.
func TestTheLeadersRowHasRoomForPendingJobsOfAnyNumberOfQueues(t *testing.T) {
	is := is.New(t)
	pending := make(map[string]int)
	for i := range 2000 {
		pending[fmt.Sprintf("%04d-%s", i, strings.Repeat("q", 60))] = i
	}
	e := electedLeader(t)
	e.handle(func(t *chuteaction.Transition) { e.state = e.state.Write(t, nil, chuteleader.Report{Pending: pending}) })
	row, ok := e.writes[len(e.writes)-1].Put[0].Value.(chuteaction.LeaderRow)
	is.True(ok)
	body, err := chuterow.Encode(row)
	is.NoErr(err)
	if len(body) > chutegraph.MaxRowBytes {
		t.Errorf("the row has %d bytes", len(body))
	}
	decoded, err := chuterow.Decode(body)
	is.NoErr(err)
	is.True(decoded.(chuteaction.LeaderRow).Partial) //nolint:forcetypeassert // a failed assertion fails the test
	is.Equal(row.Pending[fmt.Sprintf("1999-%s", strings.Repeat("q", 60))], 1999)
}
