package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/tenancy/organisation"
)

const (
	checksumBytes = 8
	// maxStateField bounds a field of an encoded state in bytes, so that a
	// damaged length cannot use up the memory. A field comes from one record.
	maxStateField = maxDecompressed
	// decodePart is the number of bytes that are decoded together. It bounds
	// the copies of encoded bytes in memory.
	decodePart = 16 << 10
)

// Numbers of the repeated fields of wire.State.
const (
	jobsField     = 4
	requestsField = 5
	auditField    = 6
	writersField  = 7
	lostField     = 9
	historyField  = 11
)

// ErrDamaged is returned for an encoded state with a wrong checksum.
var ErrDamaged = errors.New("wrong checksum")

// Restored is a state that was decoded from a snapshot.
type Restored struct{ state *state }

// Decoder decodes a state piece by piece, in pieces of any size. It holds the
// decoded part and one field that is not complete yet.
type Decoder struct {
	digest  *xxhash.Digest
	tail    []byte // tail has the last bytes, which may be the checksum.
	pending []byte // pending is the start of a field.
	state   *state
	claims  []*claim
	single  wire.State // single has the fields that are not repeated.
	broken  error      // broken is why decoding has stopped.
	invalid error      // invalid is the first value that cannot be read; a newer format explains it.
}

// NewDecoder returns a decoder of one encoded state.
func NewDecoder() *Decoder { return &Decoder{digest: xxhash.New(), state: newState()} }

// Write decodes a piece. It returns no errors; damage shows at the end.
func (d *Decoder) Write(piece []byte) (int, error) {
	for part := range slices.Chunk(piece, decodePart) {
		d.tail = append(d.tail, part...)
		body := max(0, len(d.tail)-checksumBytes)
		_, _ = d.digest.Write(d.tail[:body]) // It returns no errors.
		d.decode(d.tail[:body])
		d.tail = slices.Delete(d.tail, 0, body)
	}
	return len(piece), nil
}

// Restored returns the state after the last piece. The checksum at its end
// catches pieces that were put together wrongly, which could otherwise decode
// to a wrong state; the error then wraps ErrDamaged.
func (d *Decoder) Restored() (*Restored, error) {
	if len(d.tail) != checksumBytes || binary.BigEndian.Uint64(d.tail) != d.digest.Sum64() {
		return nil, fmt.Errorf("decode snapshot: %w", ErrDamaged)
	}
	s, err := d.finish()
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return &Restored{s}, nil
}

// decode takes the complete fields of the pending bytes and of a piece.
func (d *Decoder) decode(piece []byte) {
	if d.broken != nil {
		return
	}
	d.pending = append(d.pending, piece...)
	rest := d.pending
	for len(rest) > 0 {
		number, _, n := protowire.ConsumeField(rest)
		if err := protowire.ParseError(n); err != nil {
			d.stopUnlessCut(err, len(rest))
			break
		}
		if d.broken = d.field(number, rest[:n]); d.broken != nil {
			break
		}
		rest = rest[n:]
	}
	d.pending = slices.Delete(d.pending, 0, len(d.pending)-len(rest))
}

// stopUnlessCut stops decoding unless the field may be complete with more bytes.
func (d *Decoder) stopUnlessCut(err error, size int) {
	if !errors.Is(err, io.ErrUnexpectedEOF) || size > maxStateField {
		d.broken = err
	}
}

func (d *Decoder) field(number protowire.Number, encoded []byte) error {
	switch number {
	case jobsField, requestsField, auditField, writersField, lostField, historyField:
	default:
		return proto.UnmarshalOptions{Merge: true, DiscardUnknown: true}.Unmarshal(encoded, &d.single)
	}
	var m wire.State
	if err := proto.Unmarshal(encoded, &m); err != nil {
		return err
	}
	d.add(&m)
	return nil
}

// add takes the elements of the repeated fields.
func (d *Decoder) add(m *wire.State) {
	for _, e := range m.GetJobs() {
		j, err := jobStateFromWire(e)
		if err != nil {
			d.invalidate(err)
			continue
		}
		d.state.jobs[j.Job.Identity] = j
	}
	for _, e := range m.GetRequests() {
		d.claims = append(d.claims, compact(requestStateFromWire(e)))
	}
	for _, e := range m.GetAudit() {
		d.state.audit = append(d.state.audit, AuditEntry{e.GetOffset(), fromNanos(e.GetTimeUnixNanos()), auditFromWire(e.GetEntry())})
	}
	for _, e := range m.GetWriters() {
		d.state.writers[e.GetWriter()] = &writerState{
			sequence: e.GetSequence(),
			changed:  fromNanos(e.GetChangedUnixNanos()),
			reported: fromNanos(e.GetReportedUnixNanos()),
		}
	}
	for _, worker := range m.GetLostWorkers() {
		d.state.lost.Add(worker)
	}
	d.state.restoreHistory(m.GetHistory())
}

func (d *Decoder) invalidate(err error) {
	if d.invalid == nil {
		d.invalid = err
	}
}

// finish returns the state when all fields were decoded.
func (d *Decoder) finish() (*state, error) {
	m := &d.single
	if d.broken == nil && len(d.pending) > 0 {
		d.broken = io.ErrUnexpectedEOF
	}
	if d.broken != nil {
		return nil, d.broken
	}
	if m.GetNeeds() > Format {
		return nil, fmt.Errorf("%w: it needs %d, known is %d", ErrUnsupported, m.GetNeeds(), Format)
	}
	c, err := configurationFromWire(m.GetConfiguration())
	if err != nil {
		return nil, err
	}
	if d.invalid != nil {
		return nil, d.invalid
	}
	s := d.state
	s.needs = m.GetNeeds()
	s.next = max(1, m.GetNext())
	s.clock.now = fromNanos(m.GetClockUnixNanos())
	s.operator = c.Operator
	s.configuration = organisation.Configuration{
		Version:       m.GetConfigurationVersion(),
		Organisations: c.Organisations,
		Plans:         c.Plans,
	}
	s.claims.restore(d.claims)
	s.noteTimes()
	s.rebuildEvictions()
	return s, nil
}
