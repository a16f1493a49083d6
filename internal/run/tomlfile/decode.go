package tomlfile

import (
	"encoding"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

var durationType = reflect.TypeFor[time.Duration]()

// decodeTable maps the values of a table to the tagged fields of a struct.
func (d *Document) decodeTable(key string, values map[string]any, target reflect.Value) {
	known := make(map[string]reflect.Value)
	for i := range target.NumField() {
		if name := tagName(target.Type().Field(i)); name != "" {
			known[name] = target.Field(i)
		}
	}
	for name, value := range values {
		full := Join(key, name)
		field, ok := known[name]
		if !ok {
			d.Reportf(full, "unknown key")
			d.unusable.Add(full)
			continue
		}
		d.decodeValue(full, value, field)
	}
}

func (d *Document) decodeValue(key string, value any, target reflect.Value) {
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(key, value, text)
		return
	}
	if target.Type() == durationType {
		d.decodeDuration(key, value, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		if table, ok := value.(map[string]any); ok {
			d.decodeTable(key, table, target)
			return
		}
	case reflect.Slice:
		if elements, ok := value.([]any); ok {
			d.decodeArray(key, elements, target)
			return
		}
	default:
		if d.decodeScalar(key, value, target) {
			return
		}
	}
	d.refuse(key, "want %s, got %s", describeTarget(target.Type()), describeValue(value))
}

// decodeScalar reports whether value has a type that target can take.
func (d *Document) decodeScalar(key string, value any, target reflect.Value) bool {
	switch v := value.(type) {
	case string:
		if target.Kind() == reflect.String {
			target.SetString(v)
			return true
		}
	case bool:
		if target.Kind() == reflect.Bool {
			target.SetBool(v)
			return true
		}
	case int64:
		return d.decodeInteger(key, v, target)
	case float64:
		if target.CanFloat() {
			target.SetFloat(v)
			return true
		}
	}
	return false
}

func (d *Document) decodeInteger(key string, v int64, target reflect.Value) bool {
	switch {
	case target.CanFloat():
		target.SetFloat(float64(v))
	case target.CanInt() && target.OverflowInt(v):
		d.refuse(key, "%d is out of range", v)
	case target.CanInt():
		target.SetInt(v)
	default:
		return false
	}
	return true
}

func (d *Document) decodeArray(key string, elements []any, target reflect.Value) {
	target.Set(reflect.MakeSlice(target.Type(), len(elements), len(elements)))
	for i, e := range elements {
		d.decodeValue(Index(key, i), e, target.Index(i))
	}
}

// decodeText also takes the date and time values of TOML, in their text form.
func (d *Document) decodeText(key string, value any, target encoding.TextUnmarshaler) {
	text := ""
	switch v := value.(type) {
	case string:
		text = v
	case time.Time:
		text = v.Format(time.RFC3339Nano)
	case toml.LocalDate:
		text = v.String()
	case toml.LocalDateTime:
		text = v.String()
	default:
		d.refuse(key, "want a string, got %s", describeValue(value))
		return
	}
	err := target.UnmarshalText([]byte(text))
	if _, isAddress := target.(*netip.AddrPort); isAddress && err != nil {
		// The error of netip does not say what is expected.
		d.refuse(key, `want an IP address and port such as "127.0.0.1:7000", got %q`, text)
		return
	}
	if err != nil {
		d.refuse(key, "%v", err)
	}
}

func (d *Document) decodeDuration(key string, value any, target reflect.Value) {
	text, ok := value.(string)
	if !ok {
		d.refuse(key, `want a duration such as "500ms", got %s`, describeValue(value))
		return
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		d.refuse(key, `want a duration such as "500ms", got %q`, text)
		return
	}
	target.SetInt(int64(v))
}

func (d *Document) refuse(key, format string, args ...any) {
	d.Reportf(key, format, args...)
	d.unusable.Add(key)
}

func tagName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

func describeTarget(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array"
	case reflect.Struct:
		return "a table"
	default:
		return "a whole number"
	}
}

func describeValue(value any) string {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("the string %q", v)
	case bool, int64, float64:
		return fmt.Sprint(v)
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}
