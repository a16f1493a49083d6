package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// outputOption is embedded by commands that list something.
type outputOption struct {
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"Format of the output"`
}

func (o outputOption) json() bool { return o.Output == "json" }

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// writeTable writes rows in aligned columns below a header.
func writeTable(w io.Writer, header []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(t, strings.Join(row, "\t")); err != nil {
			return fmt.Errorf("write output: %w", err)
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
