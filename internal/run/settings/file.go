package settings

import (
	"net/netip"
	"time"

	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
)

// megabyte is the unit of memory in files, in bytes.
const megabyte = 1_000_000

// settingsFile is the layout of a settings file.
type settingsFile struct {
	Role           string           `toml:"role"`
	Name           string           `toml:"name"`
	Region         string           `toml:"region"`
	DataCentre     string           `toml:"data-centre"`
	ListenAddress  netip.AddrPort   `toml:"listen-address"`
	MetricsAddress netip.AddrPort   `toml:"metrics-address"`
	LogAddress     netip.AddrPort   `toml:"log-address"`
	LogRegion      string           `toml:"log-region"`
	Seeds          []netip.AddrPort `toml:"seeds"`
	LogLevel       string           `toml:"log-level"`
	Timeouts       timeoutsTable    `toml:"timeouts"`
	Entry          entryTable       `toml:"entry"`
	Agent          agentTable       `toml:"agent"`
	Log            logTable         `toml:"standin-log"`
	Worker         workerTable      `toml:"standin-worker"`
	Minion         minionTable      `toml:"standin-minion"`
}

type timeoutsTable struct {
	Exchange      time.Duration `toml:"exchange"`
	ProbeInterval time.Duration `toml:"probe-interval"`
	Suspect       time.Duration `toml:"suspect"`
	Drain         time.Duration `toml:"drain"`
}

type tokenTable struct {
	Organisation string `toml:"organisation"`
	Secret       string `toml:"secret"`
}

type entryTable struct {
	CallerAddress      netip.AddrPort `toml:"caller-address"`
	OperatorAddress    netip.AddrPort `toml:"operator-address"`
	OperatorToken      string         `toml:"operator-token"`
	LinkBytesPerSecond int64          `toml:"link-bytes-per-second"`
	Tokens             []tokenTable   `toml:"token"`
}

type agentTable struct {
	Service         string             `toml:"service"`
	AnnounceAddress netip.AddrPort     `toml:"announce-address"`
	MinionAddress   netip.AddrPort     `toml:"minion-address"`
	ClaimMemoryMB   int64              `toml:"claim-memory-mb"`
	Slots           int                `toml:"slots"`
	Connections     int                `toml:"connections"`
	LeaseWorkers    int                `toml:"lease-workers"`
	Policy          string             `toml:"policy"`
	Weights         weightsTable       `toml:"weights"`
	Timeouts        agentTimeoutsTable `toml:"timeouts"`
	Workers         []agentWorkerTable `toml:"worker"`
}

type weightsTable struct {
	Patience float64 `toml:"patience"`
	Fairness float64 `toml:"fairness"`
	Rack     float64 `toml:"rack"`
	Worker   float64 `toml:"worker"`
	Core     float64 `toml:"core"`
}

type agentTimeoutsTable struct {
	Lease           time.Duration `toml:"lease"`
	LeaseRenewal    time.Duration `toml:"lease-renewal"`
	MinionProbe     time.Duration `toml:"minion-probe"`
	GangStart       time.Duration `toml:"gang-start"`
	Checkpoint      time.Duration `toml:"checkpoint"`
	ReservationWait time.Duration `toml:"reservation-wait"`
}

type agentWorkerTable struct {
	Name         string         `toml:"name"`
	Rack         string         `toml:"rack"`
	DataCentre   string         `toml:"data-centre"`
	Address      netip.AddrPort `toml:"address"`
	Cores        float64        `toml:"cores"`
	MemoryMB     int64          `toml:"memory-mb"`
	Accelerators int            `toml:"accelerators"`
}

type logTable struct {
	AppendsPerSecond int           `toml:"appends-per-second"`
	MaxPayloadBytes  int           `toml:"max-payload-bytes"`
	KeepEntries      int           `toml:"keep-entries"`
	KeepFor          time.Duration `toml:"keep-for"`
}

type workerTable struct {
	Rack         string  `toml:"rack"`
	Cores        float64 `toml:"cores"`
	MemoryMB     int64   `toml:"memory-mb"`
	Accelerators int     `toml:"accelerators"`
}

type minionTable struct {
	Service         string         `toml:"service"`
	AnnounceAddress netip.AddrPort `toml:"announce-address"`
	Slots           int            `toml:"slots"`
	RunTime         time.Duration  `toml:"run-time"`
}

func fileFromDomain(s Settings) settingsFile {
	return settingsFile{
		Role:           string(s.Role),
		Name:           s.Name,
		Region:         s.Region,
		DataCentre:     s.DataCentre,
		ListenAddress:  s.ListenAddress,
		MetricsAddress: s.MetricsAddress,
		LogAddress:     s.LogAddress,
		LogRegion:      s.LogRegion,
		Seeds:          s.Seeds,
		LogLevel:       s.LogLevel,
		Timeouts:       timeoutsTable(s.Timeouts),
		Entry:          entryFromDomain(s.Entry),
		Agent:          agentFromDomain(s.Agent),
		Log:            logTable(s.Log),
		Worker: workerTable{
			Rack:         s.Worker.Rack,
			Cores:        s.Worker.Capacity.Cores,
			MemoryMB:     s.Worker.Capacity.Memory / megabyte,
			Accelerators: s.Worker.Capacity.Accelerators,
		},
		Minion: minionTable(s.Minion),
	}
}

func entryFromDomain(s EntrySettings) entryTable {
	t := entryTable{
		CallerAddress:      s.CallerAddress,
		OperatorAddress:    s.OperatorAddress,
		OperatorToken:      s.OperatorToken,
		LinkBytesPerSecond: s.LinkBytesPerSecond,
	}
	for _, token := range s.Tokens {
		t.Tokens = append(t.Tokens, tokenTable(token))
	}
	return t
}

func agentFromDomain(s AgentSettings) agentTable {
	t := agentTable{
		Service:         s.Service,
		AnnounceAddress: s.AnnounceAddress,
		MinionAddress:   s.MinionAddress,
		ClaimMemoryMB:   s.ClaimMemory / megabyte,
		Slots:           s.Slots,
		Connections:     s.Connections,
		LeaseWorkers:    s.LeaseWorkers,
		Policy:          string(s.Policy),
		Weights:         weightsTable(s.Weights),
		Timeouts:        agentTimeoutsTable(s.Timeouts),
	}
	for _, w := range s.Workers {
		t.Workers = append(t.Workers, agentWorkerTable{
			Name:         w.Name,
			Rack:         w.Rack,
			DataCentre:   w.DataCentre,
			Address:      w.Address,
			Cores:        w.Capacity.Cores,
			MemoryMB:     w.Capacity.Memory / megabyte,
			Accelerators: w.Capacity.Accelerators,
		})
	}
	return t
}

func (f settingsFile) toDomain() Settings {
	return Settings{
		Role:           Role(f.Role),
		Name:           f.Name,
		Region:         f.Region,
		DataCentre:     f.DataCentre,
		ListenAddress:  f.ListenAddress,
		MetricsAddress: f.MetricsAddress,
		LogAddress:     f.LogAddress,
		LogRegion:      f.LogRegion,
		Seeds:          f.Seeds,
		LogLevel:       f.LogLevel,
		Timeouts:       Timeouts(f.Timeouts),
		Entry:          f.Entry.toDomain(),
		Agent:          f.Agent.toDomain(f.DataCentre),
		Log:            LogSettings(f.Log),
		Worker: WorkerSettings{
			Rack:     f.Worker.Rack,
			Capacity: capacity(f.Worker.Cores, f.Worker.MemoryMB, f.Worker.Accelerators),
		},
		Minion: MinionSettings(f.Minion),
	}
}

func (t entryTable) toDomain() EntrySettings {
	s := EntrySettings{
		CallerAddress:      t.CallerAddress,
		OperatorAddress:    t.OperatorAddress,
		OperatorToken:      t.OperatorToken,
		LinkBytesPerSecond: t.LinkBytesPerSecond,
	}
	for _, token := range t.Tokens {
		s.Tokens = append(s.Tokens, Token(token))
	}
	return s
}

// toDomain places workers without a data centre of their own in dataCentre.
func (t agentTable) toDomain(dataCentre string) AgentSettings {
	s := AgentSettings{
		Service:         t.Service,
		AnnounceAddress: t.AnnounceAddress,
		MinionAddress:   t.MinionAddress,
		ClaimMemory:     t.ClaimMemoryMB * megabyte,
		Slots:           t.Slots,
		Connections:     t.Connections,
		LeaseWorkers:    t.LeaseWorkers,
		Policy:          Policy(t.Policy),
		Weights:         placement.Weights(t.Weights),
		Timeouts:        AgentTimeouts(t.Timeouts),
	}
	for _, w := range t.Workers {
		if w.DataCentre == "" {
			w.DataCentre = dataCentre
		}
		s.Workers = append(s.Workers, worker.Worker{
			Name:       w.Name,
			Rack:       w.Rack,
			DataCentre: w.DataCentre,
			Address:    w.Address,
			Capacity:   capacity(w.Cores, w.MemoryMB, w.Accelerators),
		})
	}
	return s
}

func capacity(cores float64, memoryMB int64, accelerators int) worker.Resources {
	return worker.Resources{Cores: cores, Memory: memoryMB * megabyte, Accelerators: accelerators}
}
