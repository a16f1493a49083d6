package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/internal/standin/fleetstore"
	"wasabihoist/internal/tenancy/catalogue"
	"wasabihoist/platform"
)

//go:embed settings.toml
var settingsTemplate string

// The ports of a deployment are the same on all of its machines, which differ by their
// loopback addresses.
const (
	callerPort  = 8521
	readyPort   = 8523
	storePort   = 8524
	controlPort = 8526
	minionPort  = 8529
)

const (
	entryMemoryMB = 284
	agentMemoryMB = 152
	stopTime      = 300 * time.Millisecond
	maxLease      = 10 * time.Second
	gangTime      = 3 * time.Second
	restartDelay  = 500 * time.Millisecond
	startLimit    = 20 * time.Second
)

var zones = []string{"mobile-back", "durham-loft", "biloxi-annex"}

// deployment is a small deployment: the project's processes, and stand-ins of the
// platform and of the minions in this process.
type deployment struct {
	*journal
	names   names
	folder  string // folder is a temporary one.
	network [2]byte
	stop    context.CancelFunc
	group   *group.Group

	store   *fleetstore.Store
	fleet   *fleethost.Fleet
	entries []*process
	agents  []*process
	minions []*minion
}

// minion is a stand-in of a minion.
type minion struct {
	*fleethost.Minion
	id string
}

// address returns the address of a machine of the deployment.
func (d *deployment) address(machine byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.network[0], d.network[1], machine}), port)
}

func (d *deployment) entry(i int) netip.AddrPort { return d.address(byte(10+i), callerPort) }

// newDeployment starts the stand-ins of the platform. Its processes are started by
// start.
func newDeployment(ctx context.Context, j *journal) (*deployment, error) {
	n, err := readNames()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	d := &deployment{
		journal: j, names: n, folder: folder, stop: stop, group: group.New(ctx),
		store: fleetstore.New(), fleet: fleethost.NewFleet(stopTime),
	}
	d.fleet.SetBounds(maxLease, gangTime)
	for range 50 {
		d.network = [2]byte{byte(10 + rand.N(200)), byte(1 + rand.N(250))}
		if d.serve(d.address(1, storePort), &http.Server{Handler: platform.StoreHandler(d.store)}) == nil {
			return d, nil
		}
	}
	return nil, errors.New("no free address for the store")
}

// serve serves on an address until the deployment ends.
func (d *deployment) serve(address netip.AddrPort, server *http.Server) error {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	d.group.Go("server", func(context.Context) error { _ = server.Serve(l); return nil })
	d.group.Go("end of server", func(ctx context.Context) error { <-ctx.Done(); return server.Close() })
	return nil
}

// configure writes a configuration as the operator does.
func (d *deployment) configure(ctx context.Context, c *catalogue.Catalogue) error {
	value, err := platform.EncodeConfiguration(c)
	if err != nil {
		return err
	}
	d.note("operator: configuration %d", c.Version)
	return d.store.Append(ctx, platform.OperatorTopic, []ledger.Record{{Key: platform.ConfigurationKey, Value: value}})
}

// settings writes the settings file of a process.
func (d *deployment) settings(node, class, zone string, machine byte, memory int) (string, error) {
	ip := d.address(machine, 1).Addr().String()
	listen := fmt.Sprintf("control = \"%s\"", d.address(machine, controlPort))
	minionKeys, serves, role := "", `"side"`, "agent"
	if class == "front" {
		listen = fmt.Sprintf("front = \"%s\"\nready = \"%s\"", d.address(machine, callerPort), d.address(machine, readyPort))
		serves, role = `"front"`, "entry"
	} else {
		minionKeys = fmt.Sprintf("app = \"%s\"\nservice = \"fitting-desk\"", d.address(machine, minionPort))
	}
	text := strings.NewReplacer("@NODE@", node, "@ROLE@", role, "@CLASS@", class, "@SERVES@", serves, "@IP@", ip, "@ZONE@", zone, "@MINION@", minionKeys,
		"@LISTEN@", listen, "@MEMORY@", strconv.Itoa(memory), "@STORE@", d.address(1, storePort).String(), "@ADVISER@", d.address(2, storePort).String(),
		"@CLOUD@", d.address(3, storePort).String()).Replace(settingsTemplate)
	path := filepath.Join(d.folder, node+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the entries, the minions and the agents beside them, and waits until
// all entries are ready.
func (d *deployment) start(ctx context.Context, entries int, minions []host.Minion) error {
	for i := range entries {
		node := fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1)
		settings, err := d.settings(node, "front", zones[i%len(zones)], byte(10+i), entryMemoryMB)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, &process{journal: d.journal, node: node, command: "hosted-entry", settings: settings, log: filepath.Join(d.folder, node+".log"), memoryMB: entryMemoryMB})
	}
	for i, report := range minions {
		machine := byte(100 + i)
		report.ID, report.Service = fmt.Sprintf("i-%08x", 0x7f3a9100+i), "fitting-desk"
		report.DataCentre = zones[i%len(zones)]
		m := &minion{fleethost.NewMinion(d.fleet, report), report.ID}
		d.minions = append(d.minions, m)
		if err := d.serve(d.address(machine, minionPort), platform.MinionServer(m)); err != nil {
			return err
		}
		control := d.address(machine, controlPort)
		d.group.Go("heartbeats", func(ctx context.Context) error { return platform.SendHeartbeats(ctx, control, m) })
		d.group.Every("minion", 5*time.Millisecond, func(context.Context) error { m.Settle(); return nil })
		node := fmt.Sprintf("side-%s-%d", report.DataCentre, i+1)
		settings, err := d.settings(node, "side", report.DataCentre, machine, agentMemoryMB)
		if err != nil {
			return err
		}
		d.agents = append(d.agents, &process{journal: d.journal, node: node, command: "hosted-agent", settings: settings, log: filepath.Join(d.folder, node+".log"), memoryMB: agentMemoryMB})
	}
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startLimit); ; {
		ready := 0
		for i := range d.entries {
			if platform.IsEntryReady(ctx, d.address(byte(10+i), readyPort)) {
				ready++
			}
		}
		if ready == entries {
			d.note("all %d entries are ready", entries)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d entries are ready after %s", ready, entries, startLimit)
		}
		if err := group.Pause(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		p.kill()
	}
	d.stop()
	d.group.Stop()
	_ = d.group.Wait()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		d.note("logs are in %s", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// process is one process of the project.
type process struct {
	*journal
	node, command, settings, log string
	memoryMB                     int

	mu     sync.Mutex
	cmd    *exec.Cmd
	output *os.File
	exited chan struct{}
	starts int
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/wasabihoist", p.command)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsEnvironment(p.settings)}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.node, err)
	}
	p.starts++
	p.cmd, p.output, p.exited = cmd, output, make(chan struct{})
	exited := p.exited
	waiting := group.New(context.Background())
	waiting.Go("wait", func(context.Context) error {
		_ = cmd.Wait()
		_ = output.Close()
		close(exited)
		return nil
	})
	return nil
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
	p.cmd = nil
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// hasExited reports whether the process has ended by itself.
func (p *process) hasExited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// residentMB returns the resident memory of the process.
func (p *process) residentMB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// logHas reports whether the log of the process has a text.
func (p *process) logHas(text string) bool {
	file, err := os.Open(p.log)
	if err != nil {
		return false
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(file)
	return err == nil && strings.Contains(string(data), text)
}

// standardMinion describes a minion with the size that the pages give.
func standardMinion(rack string) host.Minion {
	return host.Minion{
		Rack: rack, Labels: []string{"a", rack},
		Capacity: workload.Resources{MilliCores: 64_000, MemoryMB: 262_144, Accelerators: 8},
	}
}

// tenants returns tenants with one key each.
func tenants(keys ...string) []catalogue.Organisation {
	var list []catalogue.Organisation
	for i, k := range keys {
		list = append(list, catalogue.Organisation{Name: fmt.Sprintf("tenant-%d", i+1), Keys: []string{k}, GuaranteedAccelerators: 4})
	}
	return list
}

// route returns a route with its queue.
func route(name, prefix string, priority int) catalogue.Queue {
	return catalogue.Queue{
		Name: name, Host: "desk.example", PathPrefix: prefix, Service: "fitting-desk", Priority: priority, Attempts: 2, Stretch: 3, Objective: 3 * time.Second, Timeout: 3 * time.Second,
	}
}

func (d *deployment) client(prefix, key string) client {
	return client{d.names, "desk.example", prefix, key}
}
