package tomlfile

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"wasabihoist/internal/base/collection"
)

// locator walks the syntax tree of a file and notes the line of each key.
type locator struct {
	parser unstable.Parser
	table  string         // table is the dotted key of the table that is open.
	counts map[string]int // counts holds the number of elements of each array of tables so far.
	lines  map[string]int
}

func locateKeys(data []byte) (map[string]int, error) {
	l := &locator{counts: make(map[string]int), lines: make(map[string]int)}
	l.parser.Reset(data)
	for l.parser.NextExpression() {
		l.visit(l.parser.Expression())
	}
	return l.lines, l.parser.Error()
}

// TopLevel returns the names of the tables and keys at the top of a file. After
// a syntax error it returns those before it.
func TopLevel(data []byte) collection.Set[string] {
	names := collection.NewSet[string]()
	lines, _ := locateKeys(data)
	for key := range lines {
		if !strings.ContainsAny(key, ".[") {
			names.Add(key)
		}
	}
	return names
}

func (l *locator) visit(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		l.table = l.header(n)
	case unstable.ArrayTable:
		l.table = l.element(n)
	case unstable.KeyValue:
		l.keyValue(l.table, n)
	}
}

// header resolves the key of a table header; names of arrays of tables stand
// for their last element.
func (l *locator) header(n *unstable.Node) string {
	key := ""
	for it := n.Key(); it.Next(); {
		key = l.last(Join(key, string(it.Node().Data)))
		l.note(key, it.Node())
	}
	return key
}

// element resolves the key of an array-of-tables header, which starts a new
// element.
func (l *locator) element(n *unstable.Node) string {
	key := ""
	for it := n.Key(); it.Next(); {
		key = Join(key, string(it.Node().Data))
		if it.IsLast() {
			l.note(key, it.Node())
			l.counts[key]++
		}
		key = l.last(key)
		l.note(key, it.Node())
	}
	return key
}

func (l *locator) last(key string) string {
	if n := l.counts[key]; n > 0 {
		return Index(key, n-1)
	}
	return key
}

func (l *locator) keyValue(table string, n *unstable.Node) {
	key := table
	line := 0
	for it := n.Key(); it.Next(); {
		key = Join(key, string(it.Node().Data))
		line = l.note(key, it.Node())
	}
	l.value(key, line, n.Value())
}

func (l *locator) value(key string, line int, n *unstable.Node) {
	switch n.Kind {
	case unstable.Array:
		l.array(key, line, n)
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				l.keyValue(key, it.Node())
			}
		}
	}
}

func (l *locator) array(key string, line int, n *unstable.Node) {
	i := 0
	for it := n.Children(); it.Next(); {
		child := it.Node()
		if child.Kind == unstable.Comment {
			continue
		}
		element := Index(key, i)
		if child.Raw.Length > 0 {
			line = l.parser.Shape(child.Raw).Start.Line
		}
		l.lines[element] = line
		l.value(element, line, child)
		i++
	}
}

// note records the line of a key at its first appearance and returns the line
// of this one.
func (l *locator) note(key string, n *unstable.Node) int {
	line := l.parser.Shape(n.Raw).Start.Line
	if _, known := l.lines[key]; !known {
		l.lines[key] = line
	}
	return line
}
