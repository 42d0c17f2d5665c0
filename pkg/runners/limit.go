package runners

import (
	"time"

	"github.com/hopwell/hopwell/pkg/runnerlimit"
)

// HearLimit takes what an answer of the runner says of the requests that it bears.
func (s *State) HearLimit(said runnerlimit.Statement, now time.Time) {
	if s.limits != nil {
		s.limits.Hear(s.ID, said, now)
	}
}
