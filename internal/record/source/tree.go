package source

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

// remoteWait bounds the polls of a process whose failure would keep a whole data
// centre or region waiting, so that it learns soon that its readers are silent.
const remoteWait = 500 * time.Millisecond

// TreePlace is the place of this process among the readers of its data centre.
type TreePlace struct {
	Parents []Peer // Parents to read from, the preferred one first; none for a process that reads the log.
	Standby bool   // Standby is set for the second reader of a region without the log service.
	Guest   bool   // Guest is set for a root whose parents are in another data centre.
}

// Tree reads records from a parent of the reader tree, and from the next reader
// while no parent serves. It avoids a parent that failed or fell behind until
// the guard has seen that it is up to date again; a time limit would send the
// readers of a frozen parent back to it.
type Tree struct {
	dial Dial
	next journal.Reader

	mu      sync.Mutex
	place   TreePlace
	reading string                  // reading is the parent that is being read.
	stop    context.CancelCauseFunc // stop ends that read.
	avoided map[string]time.Time    // avoided parents and since when.
}

// NewTree returns a reader that has no parent yet and reads from next.
func NewTree(dial Dial, next journal.Reader) *Tree {
	return &Tree{dial: dial, next: next, avoided: map[string]time.Time{}}
}

// errMoved ends a read because the place has changed, not because of the parent.
var errMoved = errors.New("the place in the tree has changed")

// SetPlace changes the place in the tree. A read of a peer that is not the
// preferred parent any more ends at once: when both parents of a process are
// lost, membership knows it before the reads reach their deadlines, and when the
// first one is replaced, the second one may have nothing to deliver.
func (t *Tree) SetPlace(place TreePlace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.place = place
	for name := range t.avoided {
		if !t.isParent(name) {
			delete(t.avoided, name)
		}
	}
	if p, _ := t.preferred(); t.stop != nil && p.Name != t.reading {
		t.stop(errMoved)
	}
}

func (t *Tree) isParent(name string) bool {
	return slices.ContainsFunc(t.place.Parents, func(p Peer) bool { return p.Name == name })
}

// checksLog reports whether the guard reads the log from time to time.
func (t *Tree) checksLog() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.place.Standby || t.place.Guest
}

// bounded returns how long a poll may wait at this place.
func (t *Tree) bounded(wait time.Duration) time.Duration {
	if t.checksLog() {
		return min(wait, remoteWait)
	}
	return wait
}

// Read implements journal.Reader. A read that does not wait goes to the next
// reader: it comes from a process that starts, and a parent that starts at the
// same time has nothing yet and would pass for the end of the log.
func (t *Tree) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platformlog.Page, error) {
	wait = t.bounded(wait)
	for wait > 0 {
		p, ok := t.parent()
		if !ok {
			break
		}
		page, err := t.readParent(ctx, p, from, limit, wait)
		if err == nil || ctx.Err() != nil {
			return page, err
		}
		if !errors.Is(err, errMoved) {
			t.avoid(p)
		}
	}
	return t.next.Read(ctx, from, limit, wait)
}

func (t *Tree) parent() (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.preferred()
}

// preferred returns the first parent that is not avoided.
func (t *Tree) preferred() (Peer, bool) {
	for _, p := range t.place.Parents {
		if _, avoided := t.avoided[p.Name]; !avoided {
			return p, true
		}
	}
	return Peer{}, false
}

// readParent reads until the parent answers or is avoided.
func (t *Tree) readParent(ctx context.Context, p Peer, from int64, limit int, wait time.Duration) (platformlog.Page, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.mu.Lock()
	t.reading, t.stop = p.Name, cancel
	t.mu.Unlock()
	page, err := t.dial(p).Read(ctx, from, limit, wait)
	t.mu.Lock()
	t.reading, t.stop = "", nil
	t.mu.Unlock()
	if err != nil && errors.Is(context.Cause(ctx), errMoved) {
		err = errMoved
	}
	return page, err
}

// watch says which parent is read now and which one the guard watches: one that
// is not read, or else the one that has been avoided for the longest time. It
// reports false when there is none to watch.
func (t *Tree) watch() (read, watched Peer, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var since time.Time
	for _, p := range t.place.Parents {
		at, avoided := t.avoided[p.Name]
		switch {
		case !avoided && read.Name == "":
			read = p
		case !avoided:
			return read, p, true
		case !ok || at.Before(since):
			watched, since, ok = p, at, true
		}
	}
	return read, watched, ok
}

// avoid prefers other peers from now on, and ends a read of this one.
func (t *Tree) avoid(p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reading == p.Name && t.stop != nil {
		t.stop(nil)
	}
	if t.isParent(p.Name) {
		t.avoided[p.Name] = time.Now()
	}
}

// trust ends the avoidance of a parent that is up to date.
func (t *Tree) trust(p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.avoided, p.Name)
}
