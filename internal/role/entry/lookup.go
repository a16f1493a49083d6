package entry

import (
	"context"
	"errors"
	"net/http"
)

var (
	errNoJob     = errors.New("no such job")
	errNoRequest = errors.New("no agent and no record knows this request")
	errBehind    = errors.New("not known here, and the log does not confirm that this entry is current; ask again")
)

// catchUp returns nil once the journal holds what was on the log at the call.
func (e *Entry) catchUp(ctx context.Context) error {
	if err := e.current(ctx); err != nil {
		e.counters.UnconfirmedLookups.Add(1)
		return errBehind
	}
	return nil
}

func writeLookupError(w http.ResponseWriter, err error) {
	status := http.StatusNotFound
	if errors.Is(err, errBehind) {
		status = http.StatusServiceUnavailable
	}
	writeProblem(w, status, err.Error())
}
