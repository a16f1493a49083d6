package entry

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

// authenticate returns the organisation of the bearer token. It compares the
// token with all known ones, so that the time taken does not depend on which
// one matches.
func (e *Entry) authenticate(r *http.Request) (string, bool) {
	token, ok := bearerToken(r)
	if !ok {
		return "", false
	}
	var found string
	for known, organisation := range e.options.Tokens {
		if sameToken(token, known) {
			found = organisation
		}
	}
	return found, found != ""
}

func (e *Entry) isOperator(r *http.Request) bool {
	token, ok := bearerToken(r)
	return ok && e.options.OperatorToken != "" && sameToken(token, e.options.OperatorToken)
}

func bearerToken(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token, ok && token != ""
}

func sameToken(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
