package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/run/tomlfile"
)

// minSecret is the least length of a token, in characters. A shorter one can
// be guessed by trying.
const minSecret = 16

// maxAccelerators is the most that a worker of the platform has.
const maxAccelerators = 8

var nameForm = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

var logLevels = []string{"debug", "info", "warn", "error"}

// checker reports values that are well formed but impossible.
type checker struct{ d *tomlfile.Document }

func check(d *tomlfile.Document, s Settings) {
	c := checker{d}
	c.name("name", s.Name)
	c.name("region", s.Region)
	c.name("data-centre", s.DataCentre)
	c.oneOf("log-level", s.LogLevel, logLevels)
	c.peerAddress("listen-address", s.ListenAddress)
	switch s.Role {
	case Entry:
		c.member(s)
		c.entry(s.Entry)
	case Agent:
		c.member(s)
		c.agent(s.Agent)
	case StandinLog:
		c.logStandin(s.Log)
	case StandinWorker:
		c.name("standin-worker.rack", s.Worker.Rack)
		c.capacity("standin-worker", s.Worker.Capacity)
	case StandinMinion:
		c.minion(s.Minion)
	}
	c.distinctAddresses(s)
}

// member checks what the roles entry and agent share.
func (c checker) member(s Settings) {
	c.peerAddress("log-address", s.LogAddress)
	if s.LogRegion != "" {
		c.name("log-region", s.LogRegion)
	}
	if s.Role == Agent && len(s.Seeds) == 0 {
		c.d.Reportf("seeds", "want at least one address")
	}
	for i, seed := range s.Seeds {
		c.peerAddress(tomlfile.Index("seeds", i), seed)
	}
	c.positive("timeouts.exchange", s.Timeouts.Exchange)
	c.positive("timeouts.probe-interval", s.Timeouts.ProbeInterval)
	c.positive("timeouts.suspect", s.Timeouts.Suspect)
	c.positive("timeouts.drain", s.Timeouts.Drain)
}

func (c checker) entry(s EntrySettings) {
	c.address("entry.caller-address", s.CallerAddress)
	c.operators(s)
	c.atLeast("entry.link-bytes-per-second", s.LinkBytesPerSecond, 1)
	if len(s.Tokens) == 0 {
		c.d.Reportf("entry.token", "want at least one token")
	}
	seen := collection.NewSet[string]()
	for i, t := range s.Tokens {
		key := tomlfile.Index("entry.token", i)
		c.name(tomlfile.Join(key, "organisation"), t.Organisation)
		c.secret(tomlfile.Join(key, "secret"), t.Secret, seen)
	}
}

// operators checks the operator interface, which is off without an address.
func (c checker) operators(s EntrySettings) {
	if !s.OperatorAddress.IsValid() {
		return
	}
	c.address("entry.operator-address", s.OperatorAddress)
	if len(s.OperatorToken) < minSecret {
		c.d.Reportf("entry.operator-token", "want at least %d characters", minSecret)
	}
}

// secret keeps the value out of its messages.
func (c checker) secret(key, secret string, seen collection.Set[string]) {
	switch {
	case len(secret) < minSecret:
		c.d.Reportf(key, "want at least %d characters", minSecret)
	case seen.Has(secret):
		c.d.Reportf(key, "the same secret is given to another token")
	}
	seen.Add(secret)
}

func (c checker) agent(s AgentSettings) {
	c.name("agent.service", s.Service)
	c.address("agent.announce-address", s.AnnounceAddress)
	c.peerAddress("agent.minion-address", s.MinionAddress)
	c.atLeast("agent.claim-memory-mb", s.ClaimMemory/megabyte, 1)
	c.atLeast("agent.slots", int64(s.Slots), 1)
	c.atLeast("agent.connections", int64(s.Connections), 1)
	c.atLeast("agent.lease-workers", int64(s.LeaseWorkers), 1)
	c.oneOf("agent.policy", string(s.Policy), policyNames())
	c.weights(s.Weights)
	c.agentTimeouts(s.Timeouts)
	c.workers(s.Workers)
}

func (c checker) weights(w placement.Weights) {
	weights := map[string]float64{
		"patience": w.Patience, "fairness": w.Fairness, "rack": w.Rack, "worker": w.Worker, "core": w.Core,
	}
	for name, value := range weights {
		if value < 0 {
			c.d.Reportf(tomlfile.Join("agent.weights", name), "want at least 0, got %g", value)
		}
	}
	if w.Patience == 0 {
		c.d.Reportf("agent.weights.patience", "want more than 0")
	}
}

func (c checker) agentTimeouts(t AgentTimeouts) {
	c.positive("agent.timeouts.lease", t.Lease)
	c.positive("agent.timeouts.lease-renewal", t.LeaseRenewal)
	c.positive("agent.timeouts.minion-probe", t.MinionProbe)
	c.positive("agent.timeouts.gang-start", t.GangStart)
	c.positive("agent.timeouts.checkpoint", t.Checkpoint)
	c.positive("agent.timeouts.reservation-wait", t.ReservationWait)
	if t.Lease > 0 && t.LeaseRenewal >= t.Lease {
		c.d.Reportf("agent.timeouts.lease-renewal", "want less than the lease of %s, got %s", t.Lease, t.LeaseRenewal)
	}
}

func (c checker) workers(workers []worker.Worker) {
	names := collection.NewSet[string]()
	addresses := collection.NewSet[string]()
	for i, w := range workers {
		key := tomlfile.Index("agent.worker", i)
		c.name(tomlfile.Join(key, "name"), w.Name)
		c.name(tomlfile.Join(key, "rack"), w.Rack)
		c.name(tomlfile.Join(key, "data-centre"), w.DataCentre)
		c.peerAddress(tomlfile.Join(key, "address"), w.Address)
		c.capacity(key, w.Capacity)
		c.unique(tomlfile.Join(key, "name"), w.Name, names)
		c.unique(tomlfile.Join(key, "address"), w.Address.String(), addresses)
	}
}

func (c checker) capacity(table string, r worker.Resources) {
	if r.Cores <= 0 {
		c.d.Reportf(tomlfile.Join(table, "cores"), "want more than 0, got %g", r.Cores)
	}
	c.atLeast(tomlfile.Join(table, "memory-mb"), r.Memory/megabyte, 1)
	if r.Accelerators < 0 || r.Accelerators > maxAccelerators {
		c.d.Reportf(tomlfile.Join(table, "accelerators"), "want 0 to %d, got %d", maxAccelerators, r.Accelerators)
	}
}

func (c checker) logStandin(s LogSettings) {
	c.atLeast("standin-log.appends-per-second", int64(s.AppendsPerSecond), 0)
	c.atLeast("standin-log.max-payload-bytes", int64(s.MaxPayloadBytes), 1)
	c.atLeast("standin-log.keep-entries", int64(s.KeepEntries), 0)
	if s.KeepFor < 0 {
		c.d.Reportf("standin-log.keep-for", "want at least 0s, got %s", s.KeepFor)
	}
}

func (c checker) minion(s MinionSettings) {
	c.name("standin-minion.service", s.Service)
	c.peerAddress("standin-minion.announce-address", s.AnnounceAddress)
	c.atLeast("standin-minion.slots", int64(s.Slots), 1)
	c.positive("standin-minion.run-time", s.RunTime)
}

func (c checker) name(key, name string) {
	switch {
	case name == "":
		c.d.Reportf(key, "missing")
	case !nameForm.MatchString(name):
		c.d.Reportf(key, "want a name in kebab case, got %q", name)
	}
}

func (c checker) oneOf(key, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.d.Reportf(key, "want one of %s, got %q", join(allowed), value)
	}
}

func (c checker) unique(key, value string, seen collection.Set[string]) {
	if value != "" && seen.Has(value) {
		c.d.Reportf(key, "duplicate %s", value)
	}
	seen.Add(value)
}

func (c checker) atLeast(key string, n, least int64) {
	if n < least {
		c.d.Reportf(key, "want at least %d, got %d", least, n)
	}
}

func (c checker) positive(key string, d time.Duration) {
	if d <= 0 {
		c.d.Reportf(key, "want more than 0s, got %s", d)
	}
}

func (c checker) address(key string, a netip.AddrPort) bool {
	switch {
	case !a.IsValid():
		c.d.Reportf(key, "missing")
	case a.Port() == 0:
		c.d.Reportf(key, "want a port other than 0")
	default:
		return true
	}
	return false
}

// peerAddress checks an address at which another process is reached.
func (c checker) peerAddress(key string, a netip.AddrPort) {
	if c.address(key, a) && a.Addr().IsUnspecified() {
		c.d.Reportf(key, "want an address that other processes can reach, got %s", a)
	}
}

// distinctAddresses checks that the process does not listen twice at one
// address.
func (c checker) distinctAddresses(s Settings) {
	seen := collection.NewSet[string]()
	own := []struct {
		key     string
		address netip.AddrPort
	}{
		{"listen-address", s.ListenAddress},
		{"metrics-address", s.MetricsAddress},
		{"entry.caller-address", s.Entry.CallerAddress},
		{"entry.operator-address", s.Entry.OperatorAddress},
		{"agent.announce-address", s.Agent.AnnounceAddress},
	}
	for _, o := range own {
		if o.address.IsValid() {
			c.unique(o.key, o.address.String(), seen)
		}
	}
}

func policyNames() []string {
	var names []string
	for _, p := range Policies() {
		names = append(names, string(p))
	}
	return names
}

// formatDefault formats a value for documentation; the zero value is empty.
func formatDefault(v any) string {
	if reflect.ValueOf(v).IsZero() {
		return ""
	}
	if d, ok := v.(time.Duration); ok {
		return formatDuration(d)
	}
	return fmt.Sprint(v)
}

// formatDuration leaves out the zero minutes and seconds at the end.
func formatDuration(d time.Duration) string {
	switch {
	case d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	case d%time.Minute == 0:
		return fmt.Sprintf("%dm", d/time.Minute)
	default:
		return d.String()
	}
}
