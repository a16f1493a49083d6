package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes the connections of an agent on to its minion. It can hold one request
// back and deliver it later, without an answer, on a connection of its own.
type proxy struct {
	rec             *record
	address, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	task     string        // task is the task whose next start is held back.
	delay    time.Duration // delay is for how long; 0 is not at all.
}

// up starts to listen.
func (p *proxy) up() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener, p.conns = l, make(map[net.Conn]bool)
	time.AfterFunc(0, func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			time.AfterFunc(0, func() { p.serve(c) })
		}
	})
	return nil
}

// down refuses connections from now on and resets the open ones, as if no process
// listened.
func (p *proxy) down() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		return false
	}
	p.conns[c] = true
	return true
}

// takeDelay returns how long a request is held back, and lets the next one pass.
func (p *proxy) takeDelay(request []byte) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !bytes.HasPrefix(request, []byte("POST "+names["start"])) || !bytes.Contains(request, []byte(p.task)) {
		return 0
	}
	d := p.delay
	p.delay = 0
	return d
}

func (p *proxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	if !p.track(client) || !p.track(server) {
		return
	}
	time.AfterFunc(0, func() {
		_, _ = io.Copy(client, server)
		_ = client.Close()
	})
	buffer := make([]byte, 1<<20)
	for {
		n, err := client.Read(buffer)
		if err != nil {
			return
		}
		if d := p.takeDelay(buffer[:n]); d > 0 {
			p.hold(bytes.Clone(buffer[:n]), d)
			_, _ = io.Copy(io.Discard, client) // The caller gets no answer.
			return
		}
		if _, err := server.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// hold delivers a request after a time to the process that then listens.
func (p *proxy) hold(request []byte, d time.Duration) {
	p.rec.add("start held back", "to", p.target, "for", d)
	time.AfterFunc(d, func() {
		c, err := net.Dial("tcp", p.target)
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		p.rec.add("start delivered late", "to", p.target)
		_, _ = c.Write(request)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = c.Read(make([]byte, 1<<10))
	})
}
