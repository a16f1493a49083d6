// Package tomlfile decodes TOML files into tagged structs and reports every
// problem with its file, line and dotted key.
//
// Elements of arrays are named by their 0-based index, as in plan[0].share.
package tomlfile

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/finding"
)

// Document is a decoded file with the place of each key.
type Document struct {
	file     string
	lines    map[string]int         // lines holds the 1-based line of each dotted key.
	unusable collection.Set[string] // unusable holds the keys whose values could not be decoded.
	findings *finding.List
	parsed   bool
}

// Decode decodes data into target, a pointer to a struct with toml tags. Keys
// that are absent leave their fields unchanged. The findings of the document
// hold syntax errors, unknown keys and values of the wrong type. file is used
// for the places of findings only.
func Decode(file string, data []byte, target any) *Document {
	d := &Document{
		file:     file,
		unusable: collection.NewSet[string](),
		findings: &finding.List{},
	}
	var values map[string]any
	if err := toml.Unmarshal(data, &values); err != nil {
		d.addSyntaxError(err)
		return d
	}
	lines, err := locateKeys(data)
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.lines = lines
	d.parsed = true
	d.decodeTable("", values, reflect.ValueOf(target).Elem())
	return d
}

// Parsed reports whether the file is valid TOML. Values must not be checked
// further when it is not.
func (d *Document) Parsed() bool { return d.parsed }

// Findings returns the findings of the document.
func (d *Document) Findings() *finding.List { return d.findings }

// Has reports whether the file contains the dotted key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Reportf adds a finding at the dotted key. It adds nothing when the value of
// the key, or of a key above it, could not be decoded, because that has been
// reported already.
func (d *Document) Reportf(key, format string, args ...any) {
	for k := key; k != ""; k = parent(k) {
		if d.unusable.Has(k) {
			return
		}
	}
	d.findings.Addf(d.file, d.line(key), key, format, args...)
}

// line returns the line of the key or of the closest key above it that the
// file contains, and 0 when there is none.
func (d *Document) line(key string) int {
	for k := key; k != ""; k = parent(k) {
		if line, ok := d.lines[k]; ok {
			return line
		}
	}
	return 0
}

func (d *Document) addSyntaxError(err error) {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		d.findings.Addf(d.file, 0, "", "%v", err)
		return
	}
	line, column := decode.Position()
	message := strings.TrimPrefix(decode.Error(), "toml: ")
	d.findings.Addf(d.file, line, strings.Join(decode.Key(), "."), "column %d: %s", column, message)
}

var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// Join returns the dotted key of a name within a table. Names that are not
// bare keys of TOML are quoted.
func Join(table, name string) string {
	if !bareKey.MatchString(name) {
		name = strconv.Quote(name)
	}
	if table == "" {
		return name
	}
	return table + "." + name
}

// Index returns the dotted key of an element of an array.
func Index(array string, i int) string { return fmt.Sprintf("%s[%d]", array, i) }

// parent returns the dotted key above key, and the empty string at the top.
func parent(key string) string {
	end := strings.LastIndexAny(key, ".[")
	if end < 0 {
		return ""
	}
	return key[:end]
}
