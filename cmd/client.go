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

func (o callerOptions) address() string { return o.Entry }

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

func (o operatorOptions) address() string { return o.Entry }

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

// entryOptions say which entry a command calls.
type entryOptions interface {
	address() string
	client() (*restapi.Client, error)
}

// callEntry makes the one call of a command that calls an entry.
func callEntry[T any](ctx context.Context, env environment, o entryOptions, call func(context.Context, *restapi.Client) (T, error)) (T, error) {
	client, err := o.client()
	if err != nil {
		var none T
		return none, err
	}
	return callClient(ctx, env, o, client, call)
}

// callClient makes a call within the default timeout and shows progress.
func callClient[T any](ctx context.Context, env environment, o entryOptions, client *restapi.Client, call func(context.Context, *restapi.Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	defer env.showProgress(ctx, callProgress(o.address()))()
	return call(ctx, client)
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
