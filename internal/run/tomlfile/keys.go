package tomlfile

import (
	"cmp"
	"encoding"
	"net/netip"
	"reflect"
	"slices"
)

// Key describes a key that a tagged struct accepts.
type Key struct {
	Name  string // Name is the dotted key; elements of arrays of tables are written as name[].
	Type  string // Type is the type as documentation names it.
	Value any    // Value of the field; the zero value within arrays of tables.
}

// Keys describes the keys that a tagged struct accepts, in ascending order of
// names.
func Keys(target any) []Key {
	keys := appendKeys(nil, "", reflect.ValueOf(target))
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(a.Name, b.Name) })
	return keys
}

func appendKeys(keys []Key, prefix string, v reflect.Value) []Key {
	for i := range v.NumField() {
		name := tagName(v.Type().Field(i))
		if name == "" {
			continue
		}
		field := v.Field(i)
		key := Join(prefix, name)
		switch {
		case isTable(field.Type()):
			keys = appendKeys(keys, key, field)
		case field.Kind() == reflect.Slice && isTable(field.Type().Elem()):
			keys = appendKeys(keys, key+"[]", reflect.Zero(field.Type().Elem()))
		default:
			keys = append(keys, Key{Name: key, Type: typeName(field.Type()), Value: field.Interface()})
		}
	}
	return keys
}

func isTable(t reflect.Type) bool {
	text := reflect.TypeFor[encoding.TextUnmarshaler]()
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(text)
}

func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t == reflect.TypeFor[netip.AddrPort]():
		return "IP address and port"
	case t.Kind() == reflect.Slice:
		return "array of " + typeName(t.Elem())
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "number"
	case t.Kind() == reflect.String, t.Kind() == reflect.Struct:
		return "string"
	default:
		return "whole number"
	}
}
