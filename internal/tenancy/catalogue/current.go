package catalogue

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/record/ledger"
)

// Current holds the newest configuration that this process has read, whose version
// never decreases, and the data centres that operators have evacuated. The two are
// independent of each other. It implements ledger.Fold and is safe for concurrent use.
type Current struct {
	recordKey  string // recordKey is the key of the configuration records.
	decode     func(value []byte) (*Catalogue, error)
	evacuation func(key string) (dataCentre string, ok bool) // evacuation is nil if evacuations are not followed.
	logger     log.Logger

	mu        sync.Mutex
	catalogue *Catalogue             // catalogue is nil until a configuration is read.
	evacuated collection.Set[string] // evacuated is replaced at each change and never modified.
	next      int64                  // next is the offset after the last applied record.
	changed   chan struct{}          // changed is closed and replaced at the next change.
}

// NewCurrent returns an empty Current that follows the records with the given key.
// decode parses their values.
func NewCurrent(key string, decode func(value []byte) (*Catalogue, error), logger log.Logger) *Current {
	return &Current{recordKey: key, decode: decode, logger: logger, changed: make(chan struct{})}
}

// FollowEvacuations lets c follow the records that evacuate data centres as well.
// dataCentre returns the data centre that the key of such a record names. It must be
// called before any other method.
func (c *Current) FollowEvacuations(dataCentre func(key string) (string, bool)) {
	c.evacuation = dataCentre
}

// Get returns the configuration in force, nil if there is none.
func (c *Current) Get() *Catalogue {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalogue
}

// Evacuated returns the evacuated data centres. The set must not be modified.
func (c *Current) Evacuated() collection.Set[string] {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuated
}

// Changed returns a channel that is closed when the configuration or the set of
// evacuated data centres changes next.
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
	var news []ledger.StoredRecord
	for _, r := range page.Records {
		if r.Offset >= c.next { // Concurrent reads may return a record again, after a later one of its key.
			news = append(news, r)
		}
	}
	c.setEvacuated(withEvacuations(c.evacuated, c.evacuation, news))
	c.next = max(c.next, page.Next)
	return c.applyConfigurations(page.Records)
}

// applyConfigurations applies the configurations among some records. The caller holds
// c.mu.
func (c *Current) applyConfigurations(records []ledger.StoredRecord) error {
	var errs []error
	for _, r := range records {
		if r.Key == c.recordKey && len(r.Value) > 0 {
			errs = append(errs, c.replaceCatalogue(r.Value))
		}
	}
	return errors.Join(errs...)
}

// Replace implements ledger.Fold.
func (c *Current) Replace(page ledger.Page) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if page.Next < c.next {
		return false, nil
	}
	c.setEvacuated(withEvacuations(nil, c.evacuation, page.Records))
	c.next = page.Next
	return true, c.applyConfigurations(page.Records)
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
	c.notifyChange()
	return nil
}

// setEvacuated replaces the evacuated data centres. The caller holds c.mu.
func (c *Current) setEvacuated(next collection.Set[string]) {
	if maps.Equal(next, c.evacuated) {
		return
	}
	_ = level.Info(c.logger).Log("event", "evacuations changed", "evacuated", strings.Join(next.Sorted(), ","))
	c.evacuated = next
	c.notifyChange()
}

// notifyChange closes and replaces the channel of Changed. The caller holds c.mu.
func (c *Current) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}
