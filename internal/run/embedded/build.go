package embedded

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/settings"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/standin/workerhost"
)

func (c *Cluster) build() error {
	if err := c.buildLog(); err != nil {
		return err
	}
	for _, site := range c.Options.Deployment.Sites {
		for i := range site.Workers {
			if err := c.buildWorker(site, i); err != nil {
				return err
			}
		}
	}
	if err := c.buildEntries(); err != nil {
		return err
	}
	for _, site := range c.Options.Deployment.Sites {
		for i := range site.Minions {
			if err := c.buildMinion(site, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) buildLog() error {
	site, err := c.logSite()
	if err != nil {
		return err
	}
	c.logAddr, err = c.serveStandin("log", site, c.Log.Handler())
	return err
}

func (c *Cluster) logSite() (deployment.Site, error) {
	for _, s := range c.Options.Deployment.Sites {
		if s.Region == c.Options.Deployment.LogRegion {
			return s, nil
		}
	}
	return deployment.Site{}, fmt.Errorf("no data centre in region %s", c.Options.Deployment.LogRegion)
}

// serveStandin serves a stand-in at a reserved address of a site.
func (c *Cluster) serveStandin(name string, site deployment.Site, handler http.Handler) (netip.AddrPort, error) {
	address, err := c.network.bind(site)
	if err != nil {
		return address, err
	}
	listener, err := c.network.listen(address)
	if err != nil {
		return address, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	c.group.Go(name, func(ctx context.Context) error { return webserver.Serve(ctx, server, listener) })
	return address, nil
}

func (c *Cluster) buildWorker(site deployment.Site, i int) error {
	name := fmt.Sprintf("worker-%s-%d", site.Name, i+1)
	host := workerhost.New(c.Options.Deployment.Worker, c.Options.Workload)
	address, err := c.serveStandin(name, site, host.Handler())
	if err != nil {
		return err
	}
	c.Workers = append(c.Workers, &Worker{
		Worker: worker.Worker{
			Name:       name,
			Rack:       site.Rack(i),
			DataCentre: site.Name,
			Address:    address,
			Capacity:   c.Options.Deployment.Worker,
		},
		Host: host,
	})
	return nil
}

func (c *Cluster) buildEntries() error {
	organisations, err := c.organisations()
	if err != nil {
		return err
	}
	for _, name := range organisations {
		c.Tokens[name] = "embedded-token-of-" + name
	}
	for _, site := range c.Options.Deployment.Sites {
		for i := range site.Entries {
			if err := c.buildEntry(site, i); err != nil {
				return err
			}
		}
	}
	for _, e := range c.Entries {
		e.Settings.Seeds = c.seeds
	}
	return nil
}

func (c *Cluster) buildEntry(site deployment.Site, i int) error {
	s := settings.Default(settings.Entry)
	s.Name = fmt.Sprintf("entry-%s-%d", site.Name, i+1)
	if err := c.common(&s, site); err != nil {
		return err
	}
	var err error
	if s.Entry.CallerAddress, err = c.network.bind(site); err != nil {
		return err
	}
	if s.Entry.OperatorAddress, err = c.network.bind(site); err != nil {
		return err
	}
	s.Entry.OperatorToken = operatorToken
	for name, secret := range c.Tokens {
		s.Entry.Tokens = append(s.Entry.Tokens, settings.Token{Organisation: name, Secret: secret})
	}
	c.seeds = append(c.seeds, s.ListenAddress)
	c.Entries = append(c.Entries, &Entry{Name: s.Name, Site: site, Settings: s})
	return nil
}

func (c *Cluster) common(s *settings.Settings, site deployment.Site) error {
	address, err := c.network.bind(site)
	if err != nil {
		return err
	}
	s.ListenAddress = address
	s.Region = site.Region
	s.DataCentre = site.Name
	s.LogAddress = c.logAddr
	s.LogRegion = c.Options.Deployment.LogRegion
	s.Seeds = c.seeds
	return nil
}

func (c *Cluster) buildMinion(site deployment.Site, i int) error {
	s := settings.Default(settings.Agent)
	s.Name = fmt.Sprintf("agent-%s-%d", site.Name, i+1)
	if err := c.common(&s, site); err != nil {
		return err
	}
	var err error
	if s.Agent.AnnounceAddress, err = c.network.bind(site); err != nil {
		return err
	}
	o := minionhost.DefaultOptions()
	o.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	o.Agent = "http://" + s.Agent.AnnounceAddress.String()
	o.AnnounceEvery = announceEvery
	o.Kinds = c.Options.Kinds
	host, err := minionhost.New(o)
	if err != nil {
		return fmt.Errorf("start minion: %w", err)
	}
	s.Agent.Service = c.Options.Deployment.Service
	s.Agent.MinionAddress = host.Address()
	s.Agent.Policy = c.Options.Deployment.Policy
	for _, w := range c.Workers {
		s.Agent.Workers = append(s.Agent.Workers, w.Worker)
	}
	c.network.place(host.Address(), site)
	c.Minions = append(c.Minions, &Minion{
		Name:     fmt.Sprintf("minion-%s-%d", site.Name, i+1),
		Site:     site,
		Host:     host,
		Settings: s,
	})
	return nil
}
