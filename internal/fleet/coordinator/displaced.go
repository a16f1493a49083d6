package coordinator

import (
	"context"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/ledger"
)

// restore writes the record of a job again that a later one of another organisation has
// replaced in the store, so that processes which start from now on find it.
func (t *term) restore(e ledger.JobEntry) {
	id := e.Job.ID
	if !e.Displaced || t.restoring.Has(id) {
		return
	}
	record, err := ledger.EncodeJob(e.Job)
	if err != nil {
		_ = level.Error(t.logger).Log("event", "restoring a job failed", "job", id, "reason", err)
		return
	}
	_ = level.Warn(t.logger).Log("event", "job restored", "job", id, "organisation", e.Job.Organisation, "reason", "another organisation has submitted a job with this ID")
	t.restoring.Add(id)
	t.group.Go("restore "+string(id), func(ctx context.Context) error {
		defer t.post(func() { t.restoring.Remove(id) })
		for {
			if e, ok := t.state.Job(id); !ok || !e.Displaced {
				return nil
			}
			callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
			err := t.store.Append(callCtx, t.topic, []ledger.Record{record})
			cancel()
			if err != nil {
				_ = level.Warn(t.logger).Log("event", "restoring a job failed", "job", id, "reason", err)
			}
			if group.Pause(ctx, appendRetryDelay) != nil {
				return nil
			}
		}
	})
}
