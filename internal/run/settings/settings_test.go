package settings_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/run/settings"
)

// Guards against documented examples that a process refuses.
func TestExamplesLoad(t *testing.T) {
	for _, deployment := range []string{"magnolia", "folha-viva"} {
		for _, role := range settings.Roles() {
			t.Run(deployment+" "+string(role), func(t *testing.T) {
				c := qt.New(t)
				s, err := settings.Load(filepath.Join("../../../examples", deployment, string(role)+".toml"))
				c.Assert(err, qt.IsNil)
				c.Assert(s.Role, qt.Equals, role)
			})
		}
	}
}

const agent = `
role = "agent"
name = "agent-1"
region = "gulf"
data-centre = "mobile-back"
listen-address = "127.0.0.1:1"
log-address = "127.0.0.1:2"
seeds = ["127.0.0.1:3"]
[agent]
service = "desk"
announce-address = "127.0.0.1:4"
minion-address = "127.0.0.1:5"
`

// Guards against defaults that are lost when a file is read.
func TestParseAppliesDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := settings.Parse("f", []byte(agent+"policy = \"completion-first\"\n[agent.weights]\nrack = 0.5\n"+
		"[agent.timeouts]\nlease = \"20s\"\n[[agent.worker]]\nname = \"w\"\nrack = \"r\"\naddress = \"127.0.0.1:6\"\ncores = 2.5\nmemory-mb = 3\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Agent.Slots, qt.Equals, 8)
	c.Assert(s.Agent.Connections, qt.Equals, 64)
	c.Assert(s.Agent.LeaseWorkers, qt.Equals, 40)
	c.Assert(s.Agent.Weights, qt.Equals, placement.Weights{Patience: 20, Fairness: 1800, Rack: 0.5, Worker: 4, Core: 16})
	c.Assert(s.Agent.Timeouts.Lease, qt.Equals, 20*time.Second)
	c.Assert(s.Agent.Timeouts.LeaseRenewal, qt.Equals, 3*time.Second)
	c.Assert(s.Agent.Workers[0].DataCentre, qt.Equals, "mobile-back")
	c.Assert(s.Agent.Workers[0].Capacity.Memory, qt.Equals, int64(3_000_000))
}

// Guards against impossible settings that are accepted, and against findings
// that are reported one at a time.
func TestParseReportsMistakes(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"no role":      {"name = \"a\"\n", `f: role: want one of entry, .*, got ""`},
		"syntax":       {"role = agent\n", `f:1: column 8: .*`},
		"unknown key":  {agent + "slot = 3\n", `f:13: agent.slot: unknown key`},
		"wrong type":   {agent + "slots = \"3\"\n", `f:13: agent.slots: want a whole number, got the string "3"`},
		"other role":   {agent + "[entry]\ncaller-address = \"127.0.0.1:9\"\n", `f:13: entry: not used by role agent`},
		"bad duration": {agent + "[timeouts]\ndrain = \"0s\"\nsuspect = 2\n", "f:14: timeouts.drain: want more than 0s, got 0s\nf:15: timeouts.suspect: want a duration .*"},
		"worker without values": {agent + "connections = 0\nlease-workers = 0\n[[agent.worker]]\naccelerators = 9\n",
			"f:13: agent.connections: want at least 1, got 0\n" +
				"f:14: agent.lease-workers: want at least 1, got 0\n" +
				"f:15: agent.worker\\[0\\].address: missing\n" +
				"f:15: agent.worker\\[0\\].cores: want more than 0, got 0\n" +
				"f:15: agent.worker\\[0\\].memory-mb: want at least 1, got 0\n" +
				"f:15: agent.worker\\[0\\].name: missing\n" +
				"f:15: agent.worker\\[0\\].rack: missing\n" +
				"f:16: agent.worker\\[0\\].accelerators: want 0 to 8, got 9"},
		"policy": {
			strings.Replace(agent, "seeds = [\"127.0.0.1:3\"]", "log-level = \"loud\"", 1) + "policy = \"worst-fit\"\n" +
				"[agent.weights]\npatience = 0\nrack = -1.0\n[agent.timeouts]\nlease = \"1s\"\nlease-renewal = \"1s\"\n",
			"f: seeds: want at least one address\n" +
				"f:8: log-level: want one of debug, info, warn, error, got \"loud\"\n" +
				"f:13: agent.policy: want one of first-fit, .*, got \"worst-fit\"\n" +
				"f:15: agent.weights.patience: want more than 0\n" +
				"f:16: agent.weights.rack: want at least 0, got -1\n" +
				"f:19: agent.timeouts.lease-renewal: want less than the lease of 1s, got 1s",
		},
		"duplicate workers": {
			agent + strings.Repeat("[[agent.worker]]\nname = \"w\"\nrack = \"r\"\naddress = \"127.0.0.1:6\"\ncores = 1\nmemory-mb = 1\n", 2) +
				"[[agent.worker]]\nname = \"v\"\nrack = \"r\"\naddress = \"127.0.0.1:0\"\ncores = 1\nmemory-mb = 1\n",
			"f:20: agent.worker\\[1\\].name: duplicate w\n" +
				"f:22: agent.worker\\[1\\].address: duplicate 127.0.0.1:6\n" +
				"f:28: agent.worker\\[2\\].address: want a port other than 0",
		},
		"entry": {
			"role = \"entry\"\nname = \"e\"\nregion = \"r\"\ndata-centre = \"d\"\nlisten-address = \"127.0.0.1:1\"\nlog-address = \"0.0.0.0:2\"\n" +
				"[entry]\ncaller-address = \"127.0.0.1:1\"\n" +
				"[[entry.token]]\norganisation = \"a\"\nsecret = \"short\"\n" +
				"[[entry.token]]\norganisation = \"a\"\nsecret = \"0123456789abcdef\"\n" +
				"[[entry.token]]\norganisation = \"b\"\nsecret = \"0123456789abcdef\"\n",
			"f:6: log-address: want an address that other processes can reach, got 0.0.0.0:2\n" +
				"f:8: entry.caller-address: duplicate 127.0.0.1:1\n" +
				"f:11: entry.token\\[0\\].secret: want at least 16 characters\n" +
				"f:17: entry.token\\[2\\].secret: the same secret is given to another token",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("f", []byte(tt.text))
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}
