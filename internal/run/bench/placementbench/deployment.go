package placementbench

import (
	"fmt"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
)

const (
	fleetSize           = 11
	workersPerRack      = 3
	acceleratorsPerHost = 8
	coresPerHost        = 64
)

// deployment is one fleet of the design page.
type deployment struct {
	name        string
	dataCentres []string // dataCentres and how many workers each has, in sizes.
	sizes       []int
	memory      int64
}

var deployments = []deployment{
	{name: "magnolia", dataCentres: []string{"mobile-back", "biloxi-annex", "durham-loft"}, sizes: []int{4, 4, 3}, memory: 256e9},
	{name: "folha-viva", dataCentres: []string{"caico", "acari", "crato"}, sizes: []int{4, 4, 3}, memory: 128e9},
}

// workers lists the workers of the deployment.
func (d deployment) workers() []worker.Worker {
	var list []worker.Worker
	for i, name := range d.dataCentres {
		for n := range d.sizes[i] {
			list = append(list, worker.Worker{
				Name: fmt.Sprintf("%s-%d", name, n), Rack: fmt.Sprintf("%s-r%d", name, n/workersPerRack), DataCentre: name,
				Capacity: worker.Resources{Cores: coresPerHost, Memory: d.memory, Accelerators: acceleratorsPerHost},
			})
		}
	}
	return list
}

// accelerators is how many the deployment has.
func (d deployment) accelerators() int {
	count := 0
	for _, k := range d.workers() {
		count += k.Capacity.Accelerators
	}
	return count
}

// tenants are the organisations of a deployment, the largest first.
var tenants = []string{"ana", "bento", "clara", "davi"}

// configuration guarantees half of the accelerators.
func configuration() organisation.Configuration {
	plan := func(name string, share int, guarantees ...organisation.Guarantee) organisation.Plan {
		return organisation.Plan{Name: name, Share: share, Urgent: true, AcceleratorLimit: fleetSize * acceleratorsPerHost,
			Kinds: []string{"check", "render", "match", "tally"}, Guarantees: guarantees}
	}
	guaranteed := func(members, accelerators, count int, a organisation.Adjacency) organisation.Guarantee {
		return organisation.Guarantee{Count: count,
			Shape: organisation.Shape{Members: members, Accelerators: accelerators, Adjacency: a}}
	}
	c := organisation.Configuration{Version: 1, Plans: []organisation.Plan{
		plan("gold", 4, guaranteed(2, 8, 1, organisation.WithinRack), guaranteed(1, 2, 2, organisation.WithinWorker)),
		plan("silver", 3, guaranteed(1, 8, 1, organisation.WithinWorker), guaranteed(1, 2, 2, organisation.WithinWorker)),
		plan("bronze", 2, guaranteed(1, 4, 1, organisation.WithinWorker), guaranteed(1, 1, 2, organisation.WithinWorker)),
		plan("basic", 1, guaranteed(1, 1, 2, organisation.WithinWorker)),
	}}
	for i, t := range tenants {
		c.Organisations = append(c.Organisations, organisation.Organisation{Name: t, Plan: c.Plans[i].Name})
	}
	return c
}
