package process

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wasabihoist/internal/cluster/peer"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

// startLimit bounds the wait of a new process for the log or a seed. Without
// either it knows no plan and can serve nobody.
const startLimit = 15 * time.Second

// startReader tells when the journal has first caught up with its source.
type startReader struct {
	journal.Reader
	once     sync.Once
	caughtUp chan struct{} // caughtUp is closed at the end of the first read that reached the end of the log.
}

func newStartReader(r journal.Reader) *startReader {
	return &startReader{Reader: r, caughtUp: make(chan struct{})}
}

// Read implements journal.Reader. It does not wait for new records before the
// journal has caught up.
func (r *startReader) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platformlog.Page, error) {
	if !r.isCaughtUp() {
		wait = 0
	}
	page, err := r.Reader.Read(ctx, from, limit, wait)
	if err == nil && len(page.Entries) == 0 {
		r.finish()
	}
	return page, err
}

func (r *startReader) finish() { r.once.Do(func() { close(r.caughtUp) }) }

func (r *startReader) isCaughtUp() bool {
	select {
	case <-r.caughtUp:
		return true
	default:
		return false
	}
}

// follow keeps the journal up to date, from a seed's state on if there is one.
func (n *node) follow(ctx context.Context) error {
	n.restoreFromSeed(ctx)
	return journal.NewFollower(n.journal, n.reader, n.selector).Run(ctx)
}

// restoreFromSeed takes the state of a running process, so that a start does
// not read the whole log again and works while the log is down.
func (n *node) restoreFromSeed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinSnapshotMax)
	defer cancel()
	before := n.journal.Next()
	for _, seed := range n.settings.Seeds {
		if seed == n.settings.ListenAddress {
			continue
		}
		restored, err := peer.NewClient(seed, n.transport.Shared()).Snapshot(ctx, before)
		if err != nil || n.journal.Adopt(restored) != nil {
			continue
		}
		if n.journal.Next() > before {
			n.reader.finish()
		}
		return
	}
}

// awaitStart fails when the process can learn nothing within the start limit.
func (n *node) awaitStart(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.reader.caughtUp:
		return nil
	case <-time.After(n.startLimit):
	}
	if err := n.journal.Unsupported(); err != nil {
		return fmt.Errorf("the log needs a newer version of this program: %w", err)
	}
	return fmt.Errorf("log-address: %s cannot be read within %s, and no seed has a state to start from",
		n.settings.LogAddress, n.startLimit)
}
