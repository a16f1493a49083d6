// Package minion implements the client of a backend server (minion). The
// protocol is described in docs/minion.md.
package minion

import (
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"wasabihoist/internal/traffic/request"
)

// Header names of the minion protocol.
const (
	HeaderRequestID    = "Request-Id"
	HeaderOrganisation = "Organisation"
	HeaderKind         = "Kind"
	HeaderIncarnation  = "Incarnation"
	HeaderChecksum     = "Checksum"
	HeaderState        = "State"
)

// Paths of the minion protocol.
const (
	PathWork     = "/v1/work"
	PathProbe    = "/v1/probe"
	PathAnnounce = "/v1/announce"
)

// State is the state that a minion reports.
type State string

// The states of a minion.
const (
	Serving  State = "serving"
	Draining State = "leaving" // Draining minions finish running requests and accept no new ones.
)

// Announcement is the JSON message that a minion posts to its agent.
type Announcement struct {
	Incarnation int64  `json:"incarnation"` // Incarnation identifies the start of the minion process; a later start has a higher one.
	Address     string `json:"address"`     // Address is the IP address and port at which the minion accepts requests.
	State       State  `json:"state"`
}

// RequestID formats an identity for the Request-Id header. Both parts are
// escaped, so that different identities never have the same ID.
func RequestID(id request.Identity) string {
	return url.PathEscape(id.Organisation) + "/" + url.PathEscape(id.ID)
}

// Checksum formats the xxhash of a body in hexadecimal for the Checksum header.
func Checksum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
