package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/platform"
)

const logMode = 0o600

// beginTime is how long after its start a process gets no SIGHUP. A program of Go
// ends on it until its runtime has taken the signals over, and by the rules of
// the platform an end within a second of a start is none by itself.
const beginTime = time.Second

// process is a program of the product that the soak has started. Only its own
// id is signalled.
type process struct {
	binary   string
	role     string // role is the command of the program.
	settings platform.Settings
	metrics  uint16
	folder   string
	group    *group.Group
	finding  func(format string, args ...any)
	front    *proxy // front carries the calls of all other processes.

	replacing sync.Mutex // replacing is held while the process is replaced.
	retired   bool       // retired processes are not started again.

	mu      sync.Mutex
	command *exec.Cmd     // command is the latest life of the process; nil before the first.
	ended   chan struct{} // ended is closed when the command has ended.
	wanted  bool          // wanted is false while the process may end.
	lives   int
	started time.Time
}

func (p *process) String() string { return p.settings.Node }

func (p *process) settingsPath() string { return filepath.Join(p.folder, p.settings.Node+".toml") }

// start runs the program in a new life, with a log of its own.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.settings.Write(p.settingsPath()); err != nil {
		return err
	}
	p.lives++
	log, err := os.OpenFile(filepath.Join(p.folder, fmt.Sprintf("%s-%d.log", p, p.lives)), os.O_CREATE|os.O_WRONLY, logMode)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if err := p.front.up(); err != nil {
		return err
	}
	c := exec.Command(p.binary, p.role, "--metrics-port", fmt.Sprint(p.metrics))
	c.Env = append(os.Environ(), platform.SettingsEnvironment(p.settingsPath()))
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p, err)
	}
	ended := make(chan struct{})
	p.command, p.ended, p.wanted, p.started = c, ended, true, time.Now()
	p.group.Go("wait for "+p.String(), func(context.Context) error {
		err := c.Wait()
		_ = log.Close()
		p.front.down()
		p.mu.Lock()
		if p.wanted && p.command == c {
			p.finding("%s ended by itself: %v", p, err)
		}
		p.mu.Unlock()
		close(ended)
		return nil
	})
	return nil
}

// hangup signals changed settings once the process has run for beginTime.
func (p *process) hangup(ctx context.Context) {
	p.mu.Lock()
	left := time.Until(p.started.Add(beginTime))
	p.mu.Unlock()
	_ = group.Pause(ctx, left)
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.started) >= beginTime {
		p.send(syscall.SIGHUP)
	}
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.send(s)
}

func (p *process) send(s syscall.Signal) {
	if p.command == nil {
		return
	}
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.finding("signal %s to %s: %v", s, p, err)
	}
}

// pause stops the process, unless it is being ended: the time for that would run
// out meanwhile.
func (p *process) pause() {
	p.mu.Lock()
	wanted := p.wanted
	p.mu.Unlock()
	if wanted {
		p.signal(syscall.SIGSTOP)
	}
}

// replace ends the process and starts it again.
func (p *process) replace(s syscall.Signal, limit time.Duration) error {
	p.replacing.Lock()
	defer p.replacing.Unlock()
	if p.retired {
		return nil
	}
	p.end(s, limit)
	time.Sleep(restartPause)
	return p.start()
}

// retire ends the process for good, or until revive.
func (p *process) retire() {
	p.replacing.Lock()
	defer p.replacing.Unlock()
	p.retired = true
	p.end(syscall.SIGTERM, stopGrace)
}

// revive starts a process that was retired or never started.
func (p *process) revive() error {
	p.replacing.Lock()
	defer p.replacing.Unlock()
	p.retired = false
	return p.start()
}

// end ends the process with a signal and waits for it. A process that is not
// gone when it would be killed is a finding.
func (p *process) end(s syscall.Signal, limit time.Duration) {
	p.mu.Lock()
	p.wanted = false
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(s)
	select {
	case <-ended:
	case <-time.After(limit):
		p.finding("%s has not ended %s after %s", p, limit, s)
		p.signal(syscall.SIGKILL)
		<-ended
	}
}
