package entry

import (
	"context"
	"errors"
	"net/http"
)

var (
	errJobNotFound     = errors.New("no such job")
	errRequestNotFound = errors.New("no agent and no record knows this request")
	errUnconfirmed     = errors.New("not known here, and the log does not confirm that this entry is current; ask again")
)

// catchUp waits until the journal holds every record that was in the log when
// catchUp was called. It returns errUnconfirmed if the wait fails.
func (e *Entry) catchUp(ctx context.Context) error {
	if err := e.readBarrier(ctx); err != nil {
		e.counters.UnconfirmedLookups.Add(1)
		return errUnconfirmed
	}
	return nil
}

func writeLookupError(w http.ResponseWriter, err error) {
	status := http.StatusNotFound
	if errors.Is(err, errUnconfirmed) {
		status = http.StatusServiceUnavailable
	}
	writeProblem(w, status, err.Error())
}
