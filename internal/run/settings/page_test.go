package settings_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/run/settings"
)

// Guards against a settings page that names keys, types, defaults or roles
// that the code does not have, or leaves some out.
func TestPageListsEveryKey(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/settings.md")
	c.Assert(err, qt.IsNil)
	var documented, known []string
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.TrimSpace(line), " | ")
		if !strings.HasPrefix(line, "| `") || len(cells) < 6 {
			continue
		}
		c.Check(cells[2], qt.Not(qt.Equals), "", qt.Commentf("unit of %s", cells[0]))
		documented = append(documented, strings.Join([]string{strings.TrimPrefix(cells[0], "| "), cells[1], cells[3], cells[4]}, " | "))
	}
	for _, k := range settings.Keys() {
		known = append(known, strings.Join([]string{"`" + k.Name + "`", k.Type, orDash(k.Default), roles(k.Roles)}, " | "))
	}
	c.Assert(documented, qt.ContentEquals, known)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return "`" + s + "`"
}

func roles(list []settings.Role) string {
	if len(list) == len(settings.Roles()) {
		return "all"
	}
	var names []string
	for _, r := range list {
		names = append(names, string(r))
	}
	return strings.Join(names, ", ")
}
