// Package minion is the client of a backend server (minion). The protocol is
// described in docs/minion.md.
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

// State is what a minion says about itself.
type State string

// The states of a minion.
const (
	Serving  State = "serving"
	Draining State = "leaving" // Leaving minions finish what they run and take no new work.
)

// Announcement is what a minion posts to the agent beside it.
type Announcement struct {
	Incarnation int64  `json:"incarnation"`
	Address     string `json:"address"`
	State       State  `json:"state"`
}

// RequestID formats an identity for the Request-Id header. Both parts are
// escaped, so different identities never have the same form.
func RequestID(id request.Identity) string {
	return url.PathEscape(id.Organisation) + "/" + url.PathEscape(id.ID)
}

// Checksum formats the xxhash of a body for the Checksum header.
func Checksum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
