package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are the names of the platform's wire that only a data file may hold.
var names = func() map[string]string {
	m := make(map[string]string)
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()
