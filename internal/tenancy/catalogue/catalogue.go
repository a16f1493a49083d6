// Package catalogue holds the operators' configuration of queues and
// organisations that a process has in force.
package catalogue

import (
	"strings"
	"time"

	"wasabihoist/internal/base/collection"
)

// Queue accepts jobs under a path prefix of a virtual host.
type Queue struct {
	Name        string
	Host        string // Host is the virtual host of the queue, case-insensitive.
	PathPrefix  string
	Service     string
	UsesAdviser bool    // UsesAdviser is set when an external placement adviser chooses the hosts.
	Public      bool    // Public queues accept calls without an API key.
	Priority    int     // Priority 0 is the highest.
	Attempts    int     // Attempts is the maximum number of failed runs of a task.
	Stretch     float64 // Stretch and Objective define the target completion time of jobs.
	Objective   time.Duration
	Timeout     time.Duration // Timeout is part of the configuration; it does not limit jobs or calls.
}

// Organisation is a tenant with its API keys and guarantee.
type Organisation struct {
	Name                   string
	Keys                   []string
	GuaranteedAccelerators int // GuaranteedAccelerators are guaranteed to the urgent jobs of the organisation.
}

// Catalogue is one version of the configuration. It is immutable after Index.
type Catalogue struct {
	Version       int64
	Queues        []Queue
	Organisations []Organisation
	// Limits of the calls; 0 is not configured.
	MaxBodyBytes   int64
	MaxHeaderBytes int64
	HeaderTimeout  time.Duration // HeaderTimeout is the time for the header of a call.
	IdleTimeout    time.Duration // IdleTimeout is the time between two calls on a connection.

	byHost        map[string][]Queue // byHost has lower-case keys.
	byKey         map[string]string  // byKey maps API keys to the names of organisations.
	byName        map[string]Queue
	organisations map[string]Organisation
}

// Index builds the look-up tables and returns c. It must be called once, before the
// catalogue is used.
func (c *Catalogue) Index() *Catalogue {
	c.byHost = make(map[string][]Queue)
	c.byKey = make(map[string]string)
	c.byName = make(map[string]Queue, len(c.Queues))
	c.organisations = make(map[string]Organisation, len(c.Organisations))
	for _, q := range c.Queues {
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
		c.byName[q.Name] = q
	}
	for _, o := range c.Organisations {
		c.organisations[o.Name] = o
		for _, k := range o.Keys {
			c.byKey[k] = o.Name
		}
	}
	return c
}

// FindQueue returns the queue of the host with the longest matching path prefix.
func (c *Catalogue) FindQueue(host, path string) collection.Option[Queue] {
	var best Queue
	found := false
	for _, q := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.PathPrefix) && (!found || len(q.PathPrefix) > len(best.PathPrefix)) {
			best, found = q, true
		}
	}
	if !found {
		return collection.None[Queue]()
	}
	return collection.Some(best)
}

// Queue returns a queue by its name.
func (c *Catalogue) Queue(name string) (Queue, bool) {
	q, ok := c.byName[name]
	return q, ok
}

// KeyOwner returns the name of the organisation that owns the API key.
func (c *Catalogue) KeyOwner(key string) (string, bool) {
	name, ok := c.byKey[key]
	return name, ok
}

// Organisation returns an organisation by its name.
func (c *Catalogue) Organisation(name string) (Organisation, bool) {
	o, ok := c.organisations[name]
	return o, ok
}
