package chutescheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutetask"
)

func cancelRow() chuteaction.Row {
	return chuteaction.Row{RowKey: chuteaction.CancelKey(jobID), Version: 10, Value: chuteaction.CancelRow{Job: jobID}}
}

// TestACancellationThatOvertakesItsJobIsNotForgotten guards against a job that starts although the scheduler was told of its
// cancellation before it was told of the job.
func TestACancellationThatOvertakesItsJobIsNotForgotten(t *testing.T) {
	cases := map[string]func(s *successor){
		"forwarded": func(s *successor) {
			s.handle(0, func(t *chuteaction.Transition, environment chuteledger.Environment) {
				s.state = s.state.HandleForwarded(t, environment, []chuteaction.Row{cancelRow()})
			})
		},
		"watched": func(s *successor) { s.submissions(false, cancelRow()) },
	}
	for name, cancel := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSuccessor(released())
			s.submissions(true)
			s.answerReads(chuteaction.TableHosts)
			s.answerReads(chuteaction.TableProgress)
			s.contactWorker()
			cancel(s)
			s.submissions(false, submissionRow(1))
			s.tick(200 * time.Millisecond)
			row, ok := s.flush()
			is.True(ok)
			is.Equal(row.Phase, chutetask.PhaseCancelled)
			for _, tasks := range row.Occurrences[0] {
				is.Equal(tasks[0].Run, 0)
			}
		})
	}
}
