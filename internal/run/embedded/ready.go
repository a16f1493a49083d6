package embedded

import (
	"cmp"
	"context"
	"fmt"
	"strings"
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
	ctx, cancel := context.WithTimeout(ctx, c.Options.Ready)
	defer cancel()
	for _, e := range c.Entries {
		for {
			missing, err := c.missing(ctx, e)
			if err == nil && missing == "" {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready after %s: %s", e.Name, c.Options.Ready, missing)
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
	if absent := c.absent(members); len(absent) > 0 {
		return "members that are not alive: " + strings.Join(absent, ", "), nil
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
func (c *Cluster) Publish(ctx context.Context) (restapi.PublishReply, error) {
	plans, allowances, err := c.Options.Deployment.Lists()
	if err != nil {
		return restapi.PublishReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	return c.Operator(c.Entries[0]).Publish(ctx, restapi.PublishRequest{
		Operator:       "operator",
		PlansPath:      plans.Path,
		Plans:          string(plans.Data),
		AllowancesPath: allowances.Path,
		Allowances:     string(allowances.Data),
	})
}

// absent lists the processes that are not alive in a member list.
func (c *Cluster) absent(members []restapi.Member) []string {
	states := map[string]string{}
	for _, m := range members {
		states[m.Name] = m.State
	}
	var absent []string
	for _, name := range c.processNames() {
		if state := states[name]; state != "alive" {
			absent = append(absent, name+" "+cmp.Or(state, "unknown"))
		}
	}
	return absent
}

func (c *Cluster) processNames() []string {
	var names []string
	for _, e := range c.Entries {
		names = append(names, e.Name)
	}
	for _, m := range c.Minions {
		names = append(names, m.Settings.Name)
	}
	return names
}
