package source

import (
	"context"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/journal"
)

const (
	// guardDelay gives the parent that is read a chance. A record passes at most
	// three levels of the second tree at the planned size, so a failure in the
	// first one costs at most three times guardDelay and guardSpacing.
	guardDelay = 200 * time.Millisecond
	// guardSpacing bounds the exchanges while many records come.
	guardSpacing = 80 * time.Millisecond
	watchWait    = 8 * time.Second
	guardPause   = time.Second // guardPause precedes the next watch after a failure or without a second parent.
)

// Guard watches the offset of a parent that is not read and pulls from it when
// the other one does not deliver. A long poll of a parent that is frozen or behind
// looks like one without news, so its own deadline is too late.
type Guard struct {
	journal *journal.Journal
	tree    *Tree
	log     journal.Reader
	puller  *Puller
}

// NewGuard returns the guard of a tree. log reads the log itself.
func NewGuard(j *journal.Journal, t *Tree, log journal.Reader) *Guard {
	return &Guard{journal: j, tree: t, log: log, puller: NewPuller(j, t.dial)}
}

// String names the controller.
func (g *Guard) String() string { return "reader guard" }

// Run watches until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !g.step(ctx) {
			g.checkLog(ctx)
			_ = group.Pause(ctx, guardPause) // The loop ends with ctx.
		}
	}
	return nil
}

// step waits for one change at the second parent. It reports false when there
// is none to watch.
func (g *Guard) step(ctx context.Context) bool {
	read, watched, ok := g.tree.watch()
	if !ok {
		return false
	}
	from := g.journal.Next()
	next, err := g.tree.dial(watched).Watch(ctx, from, g.tree.bounded(watchWait))
	if err != nil {
		g.tree.avoid(watched)
		return false
	}
	if next < from {
		g.tree.avoid(watched)
		return true
	}
	g.tree.trust(watched)
	if next == from {
		return true
	}
	if !g.awaitOffset(ctx, next) {
		g.tree.avoid(read)
		g.puller.pullNow(ctx, notice{peer: watched, offset: next})
	}
	_ = group.Pause(ctx, guardSpacing)
	return true
}

// checkLog reads the log when no member outside of a possible failure can be
// watched: the second reader of a region has nobody to compare the first one
// with, and both parents of a guest are lost together with their data centre.
func (g *Guard) checkLog(ctx context.Context) {
	if !g.tree.checksLog() {
		return
	}
	// One record is enough to know that there are some. While the process catches
	// up, more of them would cross the region link twice.
	page, err := g.log.Read(ctx, g.journal.Next(), 1, 0)
	if err != nil || g.awaitOffset(ctx, page.Next) {
		return
	}
	from := g.journal.Next()
	if page, err = g.log.Read(ctx, from, pullEntries, 0); err == nil {
		_ = g.journal.Apply(from, page) // The follower reports pages that cannot be folded.
	}
}

// awaitOffset reports whether the parent that is read delivers in time.
func (g *Guard) awaitOffset(ctx context.Context, next int64) bool {
	late := time.After(guardDelay)
	for {
		changed := g.journal.Watch()
		if g.journal.Next() >= next {
			return true
		}
		select {
		case <-changed:
		case <-late:
			return false
		case <-ctx.Done():
			return true
		}
	}
}
