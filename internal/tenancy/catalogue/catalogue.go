// Package catalogue holds the operators' configuration of queues, services and
// organisations in force at a process.
package catalogue

import (
	"strings"
	"time"

	"wasabihoist/internal/base/collection"
)

// Queue takes jobs below a path of a virtual host.
type Queue struct {
	Name        string
	Host        string // Host is the virtual host that callers name.
	PathPrefix  string
	Service     string
	UsesAdviser bool // Advised queues leave the choice of hosts to another service.
	Public      bool // Public queues take calls without a key.
	Priority    int
	Attempts    int
	Stretch     float64
	Objective   time.Duration
	Timeout     time.Duration
}

// Organisation holds a plan.
type Organisation struct {
	Name                   string
	Keys                   []string
	GuaranteedAccelerators int // Guaranteed accelerators belong to the urgent jobs of the organisation.
}

// Catalogue is one version of the configuration. It is not changed once it is
// in use.
type Catalogue struct {
	Version       int64
	Queues        []Queue
	Organisations []Organisation
	MaxBodyBytes  int64 // MaxBody bounds the body of a call, in bytes; 0 is no bound.

	byHost map[string][]Queue
	byKey  map[string]string
	byName map[string]Queue
	plans  map[string]Organisation
}

// Index prepares the look-ups. It is called once before the catalogue is used.
func (c *Catalogue) Index() *Catalogue {
	c.byHost = make(map[string][]Queue)
	c.byKey = make(map[string]string)
	c.byName = make(map[string]Queue, len(c.Queues))
	c.plans = make(map[string]Organisation, len(c.Organisations))
	for _, q := range c.Queues {
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
		c.byName[q.Name] = q
	}
	for _, o := range c.Organisations {
		c.plans[o.Name] = o
		for _, k := range o.Keys {
			c.byKey[k] = o.Name
		}
	}
	return c
}

// FindQueue returns the queue with the longest prefix of the path on the host.
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

// KeyOwner returns the organisation that holds the key.
func (c *Catalogue) KeyOwner(key string) (string, bool) {
	name, ok := c.byKey[key]
	return name, ok
}

// Organisation returns an organisation by its name.
func (c *Catalogue) Organisation(name string) (Organisation, bool) {
	o, ok := c.plans[name]
	return o, ok
}
