package embedded

import (
	"context"
	"fmt"
	"time"

	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/tenancy/configuration"
)

// organisations lists the organisations of the deployment's lists.
func (c *Cluster) organisations() ([]string, error) {
	plans, allowances, err := c.Options.Deployment.Lists()
	if err != nil {
		return nil, err
	}
	parsed, err := configuration.Parse(plans, allowances)
	if err != nil {
		return nil, fmt.Errorf("lists of %s: %w", c.Options.Deployment.Name, err)
	}
	var names []string
	for _, o := range parsed.Organisations {
		names = append(names, o.Name)
	}
	return names, nil
}

// awaitReady waits until every entry sees all members and the whole fleet.
func (c *Cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range c.Entries {
		for {
			missing, err := c.missing(ctx, e)
			if err == nil && missing == "" {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready after %s: %s", e.Name, readyTimeout, missing)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

// missing says what an entry does not see yet.
func (c *Cluster) missing(ctx context.Context, e *Entry) (string, error) {
	members, err := c.Operator(e).Members(ctx)
	if err != nil {
		return err.Error(), err
	}
	alive := 0
	for _, m := range members {
		if m.State == "alive" {
			alive++
		}
	}
	if want := len(c.Entries) + len(c.Minions); alive < want {
		return fmt.Sprintf("%d of %d members are alive", alive, want), nil
	}
	centres, err := c.Operator(e).Fleet(ctx)
	if err != nil {
		return err.Error(), err
	}
	workers := 0
	for _, d := range centres {
		for _, w := range d.Workers {
			if w.State == "ready" {
				workers++
			}
		}
	}
	if workers < len(c.Workers) {
		return fmt.Sprintf("%d of %d workers are ready", workers, len(c.Workers)), nil
	}
	return "", nil
}

// Publish publishes the lists of the deployment as the first version.
func (c *Cluster) Publish(ctx context.Context) (restapi.Published, error) {
	plans, allowances, err := c.Options.Deployment.Lists()
	if err != nil {
		return restapi.Published{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	return c.Operator(c.Entries[0]).Publish(ctx, restapi.Publish{
		Operator:       "operator",
		PlansPath:      plans.Path,
		Plans:          string(plans.Data),
		AllowancesPath: allowances.Path,
		Allowances:     string(allowances.Data),
	})
}
