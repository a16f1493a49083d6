package catalogue

import (
	"errors"
	"fmt"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/record/ledger"
)

// Current holds the newest configuration that this process has read. Its version
// never decreases. It implements ledger.Fold and is safe for concurrent use.
type Current struct {
	recordKey string // recordKey is the key of the configuration records.
	decode    func(value []byte) (*Catalogue, error)
	logger    log.Logger

	mu        sync.Mutex
	catalogue *Catalogue    // catalogue is nil until a configuration is read.
	next      int64         // next is the offset after the last applied record.
	changed   chan struct{} // changed is closed and replaced at the next change.
}

// NewCurrent returns an empty Current that follows the records with the given key.
// decode parses their values.
func NewCurrent(key string, decode func(value []byte) (*Catalogue, error), logger log.Logger) *Current {
	return &Current{recordKey: key, decode: decode, logger: logger, changed: make(chan struct{})}
}

// Get returns the configuration in force, nil if there is none.
func (c *Current) Get() *Catalogue {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalogue
}

// Changed returns a channel that is closed when the configuration changes next.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Next implements ledger.Fold.
func (c *Current) Next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// Apply implements ledger.Fold. It returns the errors of records that it skips.
func (c *Current) Apply(page ledger.Page) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(c.next, page.Next)
	var errs []error
	for _, r := range page.Records {
		if r.Key == c.recordKey && len(r.Value) > 0 {
			errs = append(errs, c.replaceCatalogue(r.Value))
		}
	}
	return errors.Join(errs...)
}

// Replace implements ledger.Fold.
func (c *Current) Replace(page ledger.Page) (bool, error) {
	c.mu.Lock()
	older := page.Next < c.next
	c.mu.Unlock()
	if older {
		return false, nil
	}
	return true, c.Apply(page)
}

// replaceCatalogue decodes a configuration and puts it in force if its version is
// newer. The caller holds c.mu.
func (c *Current) replaceCatalogue(value []byte) error {
	next, err := c.decode(value)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if c.catalogue != nil && next.Version <= c.catalogue.Version {
		return nil
	}
	_ = level.Info(c.logger).Log("event", "configuration in force", "version", next.Version,
		"queues", len(next.Queues), "organisations", len(next.Organisations))
	c.catalogue = next.Index()
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}
