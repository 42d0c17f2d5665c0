package process

import (
	"fmt"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/store"
)

// maxStageChange bounds the duration of a stage change that is read from the store, since its start is
// unknown. The lease of the key expires before that.
const maxStageChange = 20 * time.Second

// ErrStageChange reports a record of a stage change that names no stage of an engine.
type ErrStageChange struct {
	Key, Value string
}

// Error implements error.
func (e *ErrStageChange) Error() string {
	return fmt.Sprintf("no stage of an engine: key=%s value=%.64q", e.Key, e.Value)
}

// applyStageChange applies a stage change in progress. Its engine must already be in the directory. A record
// that names no stage is ignored: an engine that changes its stage gets no work.
func (f *feed) applyStageChange(i store.Item) {
	id, ok := strings.CutPrefix(i.Key, changePrefix)
	if !ok {
		return
	}
	switch to := runners.Stage(i.Value); to {
	case runners.Prefill, runners.Decode:
		f.ingress.ReceiveStageChanges([]runners.StageChange{{Runner: id, To: to, Remaining: maxStageChange}})
	default:
		f.log.Write(decisionlog.KindFailed, "stage_change_refused", decisionlog.F("error", &ErrStageChange{Key: i.Key, Value: string(i.Value)}))
	}
}
