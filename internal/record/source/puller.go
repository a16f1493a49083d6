package source

import (
	"context"
	"errors"
	"time"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

const (
	// pullDelay gives the regular read a chance before a peer is asked.
	pullDelay   = 300 * time.Millisecond
	pullTimeout = time.Second
	pullEntries = 500
)

// notice is the applied offset that a peer has reported.
type notice struct {
	peer   Peer
	offset int64
}

// Puller reads from a peer that has folded more than this process. It keeps
// configuration moving while the log is silent and a read of it hangs.
type Puller struct {
	journal *journal.Journal
	dial    Dial
	notices chan notice
}

// NewPuller returns a puller for the journal.
func NewPuller(j *journal.Journal, dial Dial) *Puller {
	return &Puller{journal: j, dial: dial, notices: make(chan notice, 1)}
}

// String names the controller.
func (p *Puller) String() string { return "journal puller" }

// Notice tells the puller what a peer has folded. It never blocks.
func (p *Puller) Notice(peer Peer, offset int64) {
	if offset <= p.journal.Next() {
		return
	}
	select {
	case p.notices <- notice{peer, offset}:
	default:
	}
}

// Run pulls until ctx ends.
func (p *Puller) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-p.notices:
			p.pull(ctx, n)
		}
	}
}

func (p *Puller) pull(ctx context.Context, n notice) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(pullDelay):
	}
	p.pullNow(ctx, n)
}

// pullNow reads from the peer until this process has folded as much.
func (p *Puller) pullNow(ctx context.Context, n notice) {
	for from := p.journal.Next(); from < n.offset; from = p.journal.Next() {
		if err := p.step(ctx, n, from); err != nil || p.journal.Next() <= from {
			return
		}
	}
}

// step takes one page from the peer, or its state when the peer no longer has
// the records.
func (p *Puller) step(ctx context.Context, n notice, from int64) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	page, err := p.dial(n.peer).Read(ctx, from, pullEntries, 0)
	if err == nil {
		return p.journal.Apply(from, page)
	}
	if !errors.Is(err, platformlog.ErrExpired) {
		return err
	}
	restored, err := p.dial(n.peer).Snapshot(ctx, from+1)
	if err != nil {
		return err
	}
	return p.journal.Adopt(restored)
}
