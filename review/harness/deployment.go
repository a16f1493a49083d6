package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	clientHost = "queues.example"
	clientKey  = "key-of-the-tenant"
	queueOne   = "/one/" // queueOne has priority 1 and three attempts.
	queueTwo   = "/two/" // queueTwo has priority 1 and one attempt.
	appService = "app"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
}

func (r *record) add(event string, details ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(r.begin).Seconds(), event)
	for i := 0; i+1 < len(details); i += 2 {
		line += fmt.Sprintf(" %v=%v", details[i], details[i+1])
	}
	_, _ = fmt.Fprintln(r.file, line)
}

type process struct {
	role, name, ip, front, ready, control, app, service string
	command                                             *exec.Cmd
}

type deployment struct {
	rec     *record
	folder  string
	subnet  string
	store   *store
	fleet   *fleet
	entries []*process
	agents  []*process
	version int
}

var minionCapacity = resources{64_000, 131_072, 8}

// newDeployment starts two entries and one agent beside each minion.
func newDeployment(rec *record, folder string, kinds [][]string) (*deployment, error) {
	d := &deployment{rec: rec, folder: folder, store: newStore(), fleet: &fleet{rec: rec, jobs: make(map[string]*job), gangs: make(map[string]*gang)}}
	d.subnet = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	d.configure()
	if err := d.serve("200:8524", d.store.handler()); err != nil {
		return d, err
	}
	for i := range 2 {
		p := &process{role: "hosted-entry", name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprint(d.subnet, 10+i)}
		p.front, p.ready = p.ip+":8521", p.ip+":8523"
		d.entries = append(d.entries, p)
		if err := d.start(p); err != nil {
			return d, err
		}
	}
	for i, labels := range kinds {
		p := &process{role: "hosted-agent", name: fmt.Sprintf("side-%d", i+1), ip: fmt.Sprint(d.subnet, 30+i), service: appService}
		p.control, p.app = p.ip+":8526", p.ip+":8529"
		m := &minion{
			fleet: d.fleet, id: fmt.Sprintf("i-%04d", i+1), service: appService, address: p.app, control: p.control, labels: labels,
			capacity: minionCapacity, born: time.UnixMilli(time.Now().UnixMilli()), runs: make(map[string]*run), dead: make(map[string]int),
		}
		d.fleet.minions = append(d.fleet.minions, m)
		if err := d.serve(fmt.Sprint(30+i, ":8530"), m.handler()); err != nil {
			return d, err
		}
		m.proxy = &proxy{rec: rec, address: p.app, target: p.ip + ":8530"}
		if err := m.proxy.up(); err != nil {
			return d, err
		}
		d.agents = append(d.agents, p)
		if err := d.start(p); err != nil {
			return d, err
		}
		m.beats()
	}
	return d, d.awaitReady()
}

func (d *deployment) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", d.subnet+address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second}
	time.AfterFunc(0, func() { _ = s.Serve(l) })
	return nil
}

// configure writes the next configuration as the operator does.
func (d *deployment) configure() {
	d.version++
	route := func(name, prefix string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": clientHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "sloMs": 1200,
			"priority": 1, "service": appService, "attempts": attempts, "stretch": 3.0, "public": false,
		}
	}
	service := map[string]any{"name": appService, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "spare": false}
	body := map[string]any{
		"version":  d.version,
		"routes":   []any{route("r-one", queueOne, 3), route("r-two", queueTwo, 1)},
		"services": []any{service},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "t-1", "apiKeys": []string{clientKey}, "priority": 1, "guaranteed": map[string]any{"gpu": 8}}},
	}
	data, _ := json.Marshal(body)
	d.store.put("keyed.op", "config", data)
}

const settings = `node = "NAME"
role = "ROLE"
CLASS = "MACHINES"
serves = ["SERVES"]
ip = "IP"
zone = "one"
region = "one"
portRange = [7000,7015]
seeds = []
bootstrap = true
lossCounted = false
discovery = "local"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]
orders = "call"
APP
[zones]
one = "one"
[listen]
LISTEN
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2500
graceS = 6
lossSlackMs = 200
configApplyMs = 2500
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
recoveryS = 12
maxHoldMs = 10000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farX = 3
checkpointS = 1
restoreMs = 100
noticeMs = 4500
moveS = 1.5
maintenanceS = 2
requireFencing = true
leaseMs = 3000
thawSlackMs = 300
paceMs = 100
harmMs = 4000
reclaimMs = 2700
[platform]
address = "STORE"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`

// start starts a process with the command of the deploy file.
func (d *deployment) start(p *process) error {
	machines, serves, app, listen := "front", "front", "", fmt.Sprintf("front = %q\nready = %q", p.front, p.ready)
	if p.app != "" {
		machines, serves, app, listen = "side", "side", fmt.Sprintf("app = %q\nservice = %q", p.app, p.service), fmt.Sprintf("control = %q", p.control)
	}
	file := filepath.Join(d.folder, p.name+".toml")
	content := strings.NewReplacer("NAME", p.name, "ROLE", p.role, "CLASS", names["class"], "MACHINES", machines, "SERVES", serves,
		"IP", p.ip, "APP", app, "LISTEN", listen, "STORE", d.subnet+"200:8524").Replace(settings)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.folder, p.name+".log"))
	if err != nil {
		return err
	}
	p.command = exec.Command("target/wasabihoist", p.role)
	p.command.Env = []string{"WASABIHOIST_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + d.folder}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	d.rec.add("process started", "name", p.name, "pid", p.command.Process.Pid)
	return nil
}

// awaitReady waits until all entries are ready and all minions are held.
func (d *deployment) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			if answer, err := http.Get("http://" + e.ready + "/v1/ready"); err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		held := 0
		d.fleet.mu.Lock()
		for _, m := range d.fleet.minions {
			if m.lease > m.clock() {
				held++
			}
		}
		d.fleet.mu.Unlock()
		if ready == len(d.entries) && held == len(d.fleet.minions) {
			d.rec.add("ready")
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the deployment is not ready after 15 s")
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, p := range append(d.entries, d.agents...) {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		}
	}
}
