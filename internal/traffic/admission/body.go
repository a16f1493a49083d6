package admission

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// roomTimeout bounds the wait for room. It is above settleTime, after which older
	// bodies give way.
	roomTimeout = settleTime + 500*time.Millisecond
	// discardTimeout is how long the rest of a body that nobody reads may arrive, so
	// that the client reads its answer before the connection is closed.
	discardTimeout = 500 * time.Millisecond
	// maxDiscardBytes is the size of a body that may be left unread on a connection
	// that stays open.
	maxDiscardBytes = 64 << 10
	// roomStep is the unit in which bodies take room.
	roomStep = 16 << 10
	// roomCheckInterval is the time after which a body that waits for room looks again
	// for another one that gives way.
	roomCheckInterval = 100 * time.Millisecond
)

// handler admits the bodies of calls.
func (d *Door) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength == 0 {
			d.begin(c, serving)
			next.ServeHTTP(w, r)
			return
		}
		d.begin(c, receiving)
		body := &admittedBody{ReadCloser: r.Body, connection: c, length: r.ContentLength}
		r.Body = body
		defer d.finish(body)
		next.ServeHTTP(&bodyAnswer{ResponseWriter: w, body: body}, r)
	})
}

func (d *door) begin(c *connection, p phase) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.enter(p)
}

// finish releases the room of a body. What is left of the body has a short time.
func (d *door) finish(b *admittedBody) {
	c := b.connection
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.held > 0 {
		d.bodyRoom.Release(c.held)
		d.bodyBytes -= c.held
		c.held = 0
	}
	if !b.complete && c.ended == "" {
		c.enter(closing)
		_ = c.Conn.SetReadDeadline(time.Now().Add(discardTimeout))
	}
}

// admittedBody is the body of a call. It takes room while it is read.
type admittedBody struct {
	io.ReadCloser
	connection *connection
	length     int64 // length is the announced length, -1 if there is none.
	read       int64
	complete   bool // complete is set when the end of the body was read.
	failed     bool // failed is set when reading has failed.
}

// Read implements io.Reader. Its error tells why a body is not read to its end.
func (b *admittedBody) Read(p []byte) (int, error) {
	n, err := b.readAdmitted(p)
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		b.connection.door.begin(b.connection, serving)
	case err != nil:
		b.failed = true
	}
	return n, err
}

func (b *admittedBody) readAdmitted(p []byte) (int, error) {
	c, d := b.connection, b.connection.door
	limit := d.maxBody()
	if max(b.length, b.read) > limit {
		d.turnAway(LargeBody, c)
		return 0, ErrLargeBody
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if b.read > limit {
		d.turnAway(LargeBody, c)
		return 0, ErrLargeBody
	}
	if roomErr := d.reserve(c, b.read); roomErr != nil {
		return 0, roomErr
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	switch d.endedBecause(c) {
	case NoRoom:
		return n, ErrNoRoom
	case SlowBody:
		return n, ErrSlowBody
	default:
		return n, err
	}
}

func (d *door) maxBody() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.MaxBodyBytes
}

func (d *door) turnAway(r Reason, c *connection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count(r, c.peer)
}

func (d *door) endedBecause(c *connection) Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.ended
}

// reserve takes room for the part of a body that has been read. If there is none, it
// lets older bodies give way and waits.
func (d *door) reserve(c *connection, read int64) error {
	if read <= smallBodyBytes {
		return nil
	}
	d.mu.Lock()
	target, most := roomStep*((copies*(read-smallBodyBytes)+roomStep-1)/roomStep), d.room.bodyBytes
	more := target - c.held
	d.mu.Unlock()
	switch {
	case more <= 0:
		return nil
	case target > most:
		d.turnAway(LargeBody, c)
		return ErrLargeBody
	}
	end := time.Now().Add(roomTimeout)
	for !d.acquire(more) {
		if !d.interruptOldest(c) || time.Now().After(end) {
			if d.endedBecause(c) == "" {
				d.turnAway(NoRoom, c)
			}
			return ErrNoRoom
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c.held += more
	d.bodyBytes += more
	return nil
}

// acquire waits for room for a short time.
func (d *door) acquire(more int64) bool {
	if d.bodyRoom.TryAcquire(more) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), roomCheckInterval)
	defer cancel()
	return d.bodyRoom.Acquire(ctx, more) == nil
}

// interruptOldest lets the body that is due give way. It reports false if that is the
// one of c, or if c gave way before.
func (d *door) interruptOldest(c *connection) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var holders []*connection
	var occupants []occupant
	for h := range d.connections {
		if h.held > 0 && h.ended == "" {
			holders, occupants = append(holders, h), append(occupants, h.occupant)
		}
	}
	i := interrupted(occupants, time.Now())
	if i >= 0 && holders[i] != c {
		d.count(NoRoom, holders[i].peer)
		holders[i].interrupt(NoRoom)
	}
	return c.ended == "" && (i < 0 || holders[i] != c)
}

// bodyAnswer is the answer to a call with a body.
type bodyAnswer struct {
	http.ResponseWriter
	body  *admittedBody
	begun bool // begun is set once the header was written.
}

// WriteHeader implements http.ResponseWriter. It closes the connection when the rest of
// a body would have to be read first.
func (a *bodyAnswer) WriteHeader(status int) {
	b := a.body
	a.begun = status >= http.StatusOK
	if !b.complete && (b.failed || b.length < 0 || b.length > maxDiscardBytes) {
		a.Header().Set("Connection", "close")
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *bodyAnswer) Write(p []byte) (int, error) {
	if !a.begun {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(p)
}

// Unwrap lets an http.ResponseController find the writer.
func (a *bodyAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
