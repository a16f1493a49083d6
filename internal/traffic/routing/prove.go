package routing

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/traffic/request"
)

// Sync returns once the journal of this process has folded everything that was
// on the log when Sync was called, or an error when ctx ends first.
type Sync func(ctx context.Context) error

var (
	errNeverCurrent = errors.New("the journal has not caught up with the log since the start")
	errGone         = errors.New("an agent is gone whose last claims may not be folded")
	errUnlisted     = errors.New("another list of agents")
)

// prover finds out whether a non-idempotent request can have run, for this or
// an earlier submission of its identity.
//
// When the log can be read, the journal shows all claims, and the agents show
// what they have not claimed yet. Without the log, a claim that is not folded
// here can only be that of an agent which worked since the journal was last
// current. The proof then needs an answer of every such agent.
type prover struct {
	sync      Sync
	agents    func() []Agent
	exchanger *exchanger
	turn      chan struct{} // turn is taken by the call that syncs.

	mu     sync.Mutex
	begun  int                    // begun counts calls of sync.
	last   int                    // last is the number of the last call that succeeded; 0 before.
	listed collection.Set[string] // listed are the agents that were known when that call began.
}

func newProver(sync Sync, agents func() []Agent, x *exchanger) *prover {
	return &prover{sync: sync, agents: agents, exchanger: x, turn: make(chan struct{}, 1)}
}

// catchUp syncs the journal. Calls that wait together share one sync.
func (p *prover) catchUp(ctx context.Context) error {
	p.mu.Lock()
	wanted := p.begun + 1
	p.mu.Unlock()
	select {
	case p.turn <- struct{}{}:
		defer func() { <-p.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	number, needed := p.begin(wanted)
	if !needed {
		return nil
	}
	listed := collection.NewSet[string]()
	for _, a := range p.agents() {
		listed.Add(a.Name)
	}
	if err := p.sync(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last, p.listed = number, listed
	return nil
}

func (p *prover) begin(wanted int) (number int, needed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last >= wanted {
		return 0, false
	}
	p.begun++
	return p.begun, true
}

// prove returns why it is not proved that the request did not run. The journal
// must be read again after it.
func (p *prover) prove(ctx context.Context, q request.Request) error {
	agents := p.agents()
	known := Digest(agents)
	g := group.New(ctx)
	var mu sync.Mutex
	var behind, unlisted error
	g.Go("read the log", func(ctx context.Context) error {
		behind = p.catchUp(ctx)
		return nil
	})
	for _, target := range agents {
		if target.Service != q.Service || target.State == Dead {
			continue
		}
		g.Go("ask "+target.Name, func(ctx context.Context) error {
			answer, reply, err := p.exchanger.question(ctx, target, q.Identity)
			if err != nil {
				return err
			}
			if reply.GetFound() && answer.Outcome != request.NotRun {
				return fmt.Errorf("%s: %w", target.Name, errKnown)
			}
			if reply.GetKnownAgents() != known {
				mu.Lock()
				defer mu.Unlock()
				unlisted = fmt.Errorf("%s: %w", target.Name, errUnlisted)
			}
			return nil
		})
	}
	err := g.Wait()
	if err != nil || behind == nil {
		return err
	}
	if err := errors.Join(p.gone(agents), unlisted); err != nil {
		return fmt.Errorf("without the log (%w): %w", behind, err)
	}
	return nil
}

// gone returns an error when an agent that may have claimed requests since the
// journal was last current cannot be asked.
func (p *prover) gone(agents []Agent) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == 0 {
		return errNeverCurrent
	}
	alive := collection.NewSet[string]()
	for _, a := range agents {
		if a.State == Dead {
			return fmt.Errorf("%s: %w", a.Name, errGone)
		}
		alive.Add(a.Name)
	}
	for _, name := range p.listed.Sorted() {
		if !alive.Has(name) {
			return fmt.Errorf("%s: %w", name, errGone)
		}
	}
	return nil
}

// Digest hashes the names of the agents that are not dead. Processes with the
// same list have the same digest.
func Digest(agents []Agent) uint64 {
	var names []string
	for _, a := range agents {
		if a.State != Dead {
			names = append(names, a.Name)
		}
	}
	slices.Sort(names)
	return xxhash.Sum64String(strings.Join(names, "\x00"))
}
