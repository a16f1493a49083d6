// Package deployment describes the two deployments as they are today: data
// centres, latencies, workers, minions and the two lists of their operators.
package deployment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wasabihoist/examples"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/run/settings"
	"wasabihoist/internal/tenancy/configuration"
)

const (
	workersPerRack = 3
	gigabyte       = 1_000_000_000
)

// Site is one data centre.
type Site struct {
	Name    string
	Region  string
	Workers int
	Minions int
	Entries int
}

// Latencies are one-way times.
type Latencies struct {
	Centres time.Duration // Centres is between data centres of a region.
	Regions time.Duration // Regions is between regions.
	Clients time.Duration // Clients is between a caller and an entry.
}

// Deployment is one installation of the system.
type Deployment struct {
	Name      string
	Service   string
	LogRegion string // LogRegion is where the log service is.
	Sites     []Site
	Latencies Latencies
	Worker    worker.Resources // Worker is the capacity of each worker.
	Policy    settings.Policy
}

// Magnolia returns the deployment of Magnolia Tress & Whisker Company.
func Magnolia() Deployment {
	return Deployment{
		Name:      "magnolia",
		Service:   "fitting-desk",
		LogRegion: "gulf",
		Sites: []Site{
			{Name: "mobile-back", Region: "gulf", Workers: 4, Minions: 4, Entries: 1},
			{Name: "biloxi-annex", Region: "gulf", Workers: 4, Minions: 4, Entries: 1},
			{Name: "durham-loft", Region: "piedmont", Workers: 3, Minions: 3, Entries: 1},
		},
		Latencies: Latencies{Centres: time.Millisecond, Regions: 8 * time.Millisecond, Clients: 3 * time.Millisecond},
		Worker:    worker.Resources{Cores: 64, Memory: 256 * gigabyte, Accelerators: 8},
		Policy:    settings.FragmentationFirst,
	}
}

// FolhaViva returns the deployment of Cooperativa Folha Viva do Sertão.
func FolhaViva() Deployment {
	return Deployment{
		Name:      "folha-viva",
		Service:   "folha-app",
		LogRegion: "serido",
		Sites: []Site{
			{Name: "caico", Region: "serido", Workers: 4, Minions: 4, Entries: 1},
			{Name: "acari", Region: "serido", Workers: 4, Minions: 4, Entries: 1},
			{Name: "crato", Region: "cariri", Workers: 3, Minions: 3, Entries: 1},
		},
		Latencies: Latencies{Centres: 1500 * time.Microsecond, Regions: 8 * time.Millisecond, Clients: time.Millisecond},
		Worker:    worker.Resources{Cores: 64, Memory: 128 * gigabyte, Accelerators: 8},
		Policy:    settings.CompletionFirst,
	}
}

// All lists the deployments.
func All() []Deployment { return []Deployment{Magnolia(), FolhaViva()} }

// Find returns the deployment with a name.
func Find(name string) (Deployment, error) {
	list := All()
	i := slices.IndexFunc(list, func(d Deployment) bool { return d.Name == name })
	if i < 0 {
		var names []string
		for _, d := range list {
			names = append(names, d.Name)
		}
		return Deployment{}, fmt.Errorf("unknown deployment %q: want one of %s", name, strings.Join(names, ", "))
	}
	return list[i], nil
}

// Lists returns the two lists of the deployment's operators.
func (d Deployment) Lists() (plans, allowances configuration.Source, err error) {
	plans, err = d.source("plans.toml")
	if err != nil {
		return plans, allowances, err
	}
	allowances, err = d.source("allowances.toml")
	return plans, allowances, err
}

func (d Deployment) source(file string) (configuration.Source, error) {
	path := d.Name + "/" + file
	data, err := examples.Files.ReadFile(path)
	if err != nil {
		return configuration.Source{}, fmt.Errorf("read the lists of %s: %w", d.Name, err)
	}
	return configuration.Source{Path: path, Data: data}, nil
}

// Rack returns the name of the rack of the i-th worker of a site.
func (s Site) Rack(i int) string { return fmt.Sprintf("%s-%d", s.Name, i/workersPerRack+1) }

// OneWay returns the latency between two sites.
func (d Deployment) OneWay(a, b Site) time.Duration {
	switch {
	case a.Name == b.Name:
		return 0
	case a.Region == b.Region:
		return d.Latencies.Centres
	default:
		return d.Latencies.Regions
	}
}

// Site returns the site with a name.
func (d Deployment) Site(name string) (Site, bool) {
	i := slices.IndexFunc(d.Sites, func(s Site) bool { return s.Name == name })
	if i < 0 {
		return Site{}, false
	}
	return d.Sites[i], true
}
