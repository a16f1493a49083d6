package process

import (
	"cmp"
	"context"
	"net/netip"

	"wasabihoist/internal/base/blackboard"
	"wasabihoist/internal/cluster/duty"
	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/readertree"
	"wasabihoist/internal/fleet/report"
	"wasabihoist/internal/record/source"
	"wasabihoist/internal/role/entry"
	"wasabihoist/internal/run/settings"
	"wasabihoist/internal/traffic/routing"
)

// board holds the sections that the controllers of a process share.
type board struct {
	members *blackboard.Section[[]membership.Member]
	agents  *blackboard.Section[[]routing.Agent]
	holders *blackboard.Section[[]report.SchedulerEndpoint]
	remote  *blackboard.Section[map[netip.AddrPort]bool] // remote tells whether the member at an address is in another region.
	relay   *blackboard.Section[netip.AddrPort]          // relay is not valid while appends go directly to the log.
}

func newBoard() *board {
	return &board{
		members: blackboard.NewSection[[]membership.Member](nil),
		agents:  blackboard.NewSection[[]routing.Agent](nil),
		holders: blackboard.NewSection[[]report.SchedulerEndpoint](nil),
		remote:  blackboard.NewSection(map[netip.AddrPort]bool{}),
		relay:   blackboard.NewSection(netip.AddrPort{}),
	}
}

// directory writes what follows from the member list to the board, once for
// each change of the list and not for each reader.
type directory struct {
	settings settings.Settings
	members  *membership.Membership
	board    *board
	tree     *source.Tree
}

// String names the controller.
func (d *directory) String() string { return "directory" }

// Run follows the member list until ctx ends.
func (d *directory) Run(ctx context.Context) error {
	for {
		members, changed := d.members.Watch()
		d.write(members)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (d *directory) write(members []membership.Member) {
	remote := map[netip.AddrPort]bool{}
	var agents []routing.Agent
	for _, m := range members {
		remote[m.Address] = m.Region != d.settings.Region
		if m.Role == membership.Agent {
			agents = append(agents, agentOf(m))
		}
	}
	d.board.members.Set(members)
	d.board.remote.Set(remote)
	d.tree.SetPlace(d.treePlace(members))
	d.board.agents.Set(agents)
	d.board.holders.Set(d.schedulers(members))
	d.board.relay.Set(d.relay(members))
}

// relay returns the address of the member that appends for the data centre. A
// relay elsewhere would only add a hop, so a data centre without agents has
// none.
func (d *directory) relay(members []membership.Member) netip.AddrPort {
	working := 0
	for _, m := range members {
		if m.Working() {
			working++
		}
	}
	if working <= maxDirectAppenders {
		return netip.AddrPort{}
	}
	holder, ok := duty.Holder(relayDuty, d.settings.DataCentre, d.settings.Region, members)
	if !ok || holder.DataCentre != d.settings.DataCentre {
		return netip.AddrPort{}
	}
	return holder.Address
}

// Relay implements relay.Directory.
func (d *directory) Relay() (netip.AddrPort, bool) {
	address := d.board.relay.Get()
	return address, address.IsValid()
}

// treePlace says whose records this process reads.
func (d *directory) treePlace(members []membership.Member) source.TreePlace {
	logRegion := cmp.Or(d.settings.LogRegion, d.settings.Region)
	place := readertree.Of(d.members.Self(), members, logRegion)
	result := source.TreePlace{Standby: place.Standby, Guest: place.Guest}
	for _, p := range place.Parents {
		result.Parents = append(result.Parents, source.Peer{Name: p.Name, Address: p.Address})
	}
	return result
}

// schedulers lists the holder of the scheduler duty of each data centre. Data
// centres stay in the list when their last member has gone.
func (d *directory) schedulers(members []membership.Member) []report.SchedulerEndpoint {
	regions := map[string]string{}
	for _, h := range d.board.holders.Get() {
		regions[h.DataCentre] = h.Region
	}
	for _, m := range members {
		regions[m.DataCentre] = m.Region
	}
	var holders []report.SchedulerEndpoint
	for dataCentre, region := range regions {
		if m, ok := duty.Holder(schedulerDuty, dataCentre, region, members); ok {
			holders = append(holders, report.SchedulerEndpoint{DataCentre: dataCentre, Region: region, Address: m.Address})
		}
	}
	return holders
}

func (d *directory) list() []entry.Member {
	var list []entry.Member
	for _, m := range d.board.members.Get() {
		list = append(list, entry.Member{
			Name: m.Name, Role: string(m.Role), DataCentre: m.DataCentre, Region: m.Region,
			Address: m.Address.String(), State: m.State.String(), Waiting: m.Waiting, Running: m.Running,
		})
	}
	return list
}

// agentOf maps a member to a target of requests.
func agentOf(m membership.Member) routing.Agent {
	states := map[membership.State]routing.State{
		membership.Alive:    routing.Alive,
		membership.Draining: routing.Draining,
		membership.Suspect:  routing.Suspect,
		membership.Dead:     routing.Dead,
	}
	return routing.Agent{
		Name:       m.Name,
		Region:     m.Region,
		DataCentre: m.DataCentre,
		Address:    m.Address,
		State:      states[m.State],
		Service:    m.Service,
		Waiting:    m.Waiting,
		Running:    m.Running,
	}
}
