package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds those names of the platform that only the adapter of the product may
// spell out.
var names = func() map[string]string {
	m := make(map[string]string)
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()
