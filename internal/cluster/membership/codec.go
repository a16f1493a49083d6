package membership

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"wasabihoist/internal/cluster/wire"
)

const (
	maxText           = 255 // maxText bounds each text of a decoded member in bytes.
	maxDecodedMembers = 256 // maxDecodedMembers bounds each member list of a decoded message.
	maxReachability   = 64  // maxReachability bounds the data centres named in a decoded message.
)

// ErrInvalid marks messages that do not describe valid members.
var ErrInvalid = errors.New("invalid membership message")

// Encode converts a member to its message.
func Encode(m Member) *wire.Member {
	return &wire.Member{
		Name:        m.Name,
		Role:        string(m.Role),
		Region:      m.Region,
		DataCentre:  m.DataCentre,
		Address:     m.Address.String(),
		Incarnation: m.Incarnation,
		Revision:    m.Revision,
		State:       int32(m.State),
		Service:     m.Service,
		Waiting:     int32(m.Waiting),
		Running:     int32(m.Running),
	}
}

// Decode converts a message to a member. Errors match ErrInvalid.
func Decode(w *wire.Member) (Member, error) {
	if w == nil {
		return Member{}, fmt.Errorf("%w: member is missing", ErrInvalid)
	}
	if err := checkTexts(w); err != nil {
		return Member{}, err
	}
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil || address.Port() == 0 {
		return Member{}, fmt.Errorf("%w: member %q: address %q", ErrInvalid, w.Name, w.Address)
	}
	if w.State < int32(Alive) || w.State > int32(Dead) {
		return Member{}, fmt.Errorf("%w: member %q: unknown state %d", ErrInvalid, w.Name, w.State)
	}
	if w.Revision == math.MaxUint64 || w.Incarnation == math.MaxInt64 {
		return Member{}, fmt.Errorf("%w: member %q: incarnation or revision leaves no room for a refutation", ErrInvalid, w.Name)
	}
	if w.Waiting < 0 || w.Running < 0 {
		return Member{}, fmt.Errorf("%w: member %q: negative load", ErrInvalid, w.Name)
	}
	return Member{
		Name:        w.Name,
		Role:        Role(w.Role),
		Region:      w.Region,
		DataCentre:  w.DataCentre,
		Address:     address,
		Incarnation: w.Incarnation,
		Revision:    w.Revision,
		State:       State(w.State),
		Service:     w.Service,
		Waiting:     int(w.Waiting),
		Running:     int(w.Running),
	}, nil
}

func checkTexts(w *wire.Member) error {
	if w.Name == "" || w.DataCentre == "" {
		return fmt.Errorf("%w: member has no name or no data centre", ErrInvalid)
	}
	for _, text := range []string{w.Name, w.Role, w.Region, w.DataCentre, w.Service, w.Address} {
		if len(text) > maxText {
			return fmt.Errorf("%w: member text of %d bytes", ErrInvalid, len(text))
		}
	}
	return nil
}

// message is the decoded part that requests and replies share.
type message struct {
	from         Member
	changes      []Member
	page         []Member
	offset       int64
	reachability []*wire.Reachability
}

func decodeRequest(r *wire.ProbeRequest) (message, error) {
	if r == nil || len(r.Target) > maxText || len(r.PageAfter) > maxText || len(r.PageDataCentre) > maxText {
		return message{}, fmt.Errorf("%w: probe request", ErrInvalid)
	}
	return decodeMessage(r.From, r.Changes, nil, r.AppliedOffset, r.Reachability)
}

func decodeReply(r *wire.ProbeReply) (message, error) {
	if r == nil {
		return message{}, fmt.Errorf("%w: reply is missing", ErrInvalid)
	}
	return decodeMessage(r.From, r.Changes, r.Page, r.AppliedOffset, r.Reachability)
}

func decodeMessage(from *wire.Member, changes, page []*wire.Member, offset int64, reachability []*wire.Reachability) (message, error) {
	sender, err := Decode(from)
	if err != nil {
		return message{}, fmt.Errorf("sender: %w", err)
	}
	m := message{from: sender, offset: offset, reachability: reachability}
	if m.changes, err = decodeList(changes); err != nil {
		return message{}, fmt.Errorf("changes: %w", err)
	}
	if m.page, err = decodeList(page); err != nil {
		return message{}, fmt.Errorf("page: %w", err)
	}
	if len(reachability) > maxReachability {
		return message{}, fmt.Errorf("%w: %d data centres", ErrInvalid, len(reachability))
	}
	for _, r := range reachability {
		if r == nil || r.DataCentre == "" || len(r.DataCentre) > maxText || r.Revision == math.MaxUint64 {
			return message{}, fmt.Errorf("%w: reachability", ErrInvalid)
		}
	}
	return m, nil
}

func decodeList(list []*wire.Member) ([]Member, error) {
	if len(list) > maxDecodedMembers {
		return nil, fmt.Errorf("%w: %d members exceed %d", ErrInvalid, len(list), maxDecodedMembers)
	}
	members := make([]Member, 0, len(list))
	for _, w := range list {
		m, err := Decode(w)
		if err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}
