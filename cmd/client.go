package cmd

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"wasabihoist/internal/role/restapi"
)

const defaultCallTimeout = 15 * time.Second

// callerOptions are embedded by the commands for callers.
type callerOptions struct {
	Entry string `long:"entry" value-name:"IP:PORT" env:"WASABIHOIST_ENTRY" required:"yes" description:"Caller address of an entry"`
	Token string `long:"token" value-name:"TOKEN" env:"WASABIHOIST_TOKEN" required:"yes" description:"Token of the organisation"`
}

func (callerOptions) connection() (address, token string) {
	return "WASABIHOIST_ENTRY", "WASABIHOIST_TOKEN"
}

// client returns a client of the caller interface.
func (o callerOptions) client() (*restapi.Client, error) {
	return newClient("--entry", o.Entry, o.Token)
}

// operatorOptions are embedded by the commands for operators.
type operatorOptions struct {
	Entry string `long:"operator" value-name:"IP:PORT" env:"WASABIHOIST_OPERATOR" required:"yes" description:"Operator address of an entry"`
	Token string `long:"token" value-name:"TOKEN" env:"WASABIHOIST_OPERATOR_TOKEN" required:"yes" description:"Token of the operators"`
}

func (operatorOptions) connection() (address, token string) {
	return "WASABIHOIST_OPERATOR", "WASABIHOIST_OPERATOR_TOKEN"
}

// client returns a client of the operator interface.
func (o operatorOptions) client() (*restapi.Client, error) {
	return newClient("--operator", o.Entry, o.Token)
}

// connectionHelp says for the commands that call an entry where its address and
// the token come from.
func connectionHelp(r runner) string {
	c, ok := r.(interface {
		connection() (address, token string)
	})
	if !ok {
		return ""
	}
	address, token := c.connection()
	return fmt.Sprintf("\n\nThe address and the token come from %s and %s, or from the options.", address, token)
}

func newClient(option, address, token string) (*restapi.Client, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, usageError{fmt.Sprintf("%s is %q: want an IP address and port", option, address)}
	}
	return restapi.NewClient(parsed, token, nil), nil
}

func withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, defaultCallTimeout)
}

// readInput reads a file, or the standard input for "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		path = "/dev/stdin"
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read input: %w", err)
	}
	return data, nil
}
