package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"wasabihoist/internal/base/finding"
	"wasabihoist/internal/run/tomlfile"
)

// Load reads and checks a settings file. The error is a *finding.List when the
// file can be read but holds mistakes.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse converts the contents of a settings file. The error is a *finding.List
// with all findings; path is used for their places only.
func Parse(path string, data []byte) (Settings, error) {
	role, findings := decodeRole(path, data)
	if findings.Len() > 0 {
		return Settings{}, findings
	}
	f := fileFromDomain(Default(role))
	d := tomlfile.Decode(path, data, &f)
	s := f.toDomain()
	checkKeys(d, role)
	check(d, s)
	if err := d.Findings().Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// decodeRole finds the role, on which the defaults and the allowed keys
// depend. Its findings are those after which nothing else can be checked.
func decodeRole(path string, data []byte) (Role, *finding.List) {
	var f settingsFile
	d := tomlfile.Decode(path, data, &f)
	role := Role(f.Role)
	if d.Parsed() && !slices.Contains(Roles(), role) {
		d.Reportf("role", "want one of %s, got %q", join(Roles()), f.Role)
		return role, d.Findings()
	}
	if !d.Parsed() {
		return role, d.Findings()
	}
	return role, &finding.List{}
}

// roleKeys lists the top-level keys that only some roles use.
var roleKeys = map[string][]Role{
	"log-address":         {Entry, Agent},
	"log-region":          {Entry, Agent},
	"seeds":               {Entry, Agent},
	"timeouts":            {Entry, Agent},
	string(Entry):         {Entry},
	string(Agent):         {Agent},
	string(StandinLog):    {StandinLog},
	string(StandinWorker): {StandinWorker},
	string(StandinMinion): {StandinMinion},
}

func checkKeys(d *tomlfile.Document, role Role) {
	for key, roles := range roleKeys {
		if d.Has(key) && !slices.Contains(roles, role) {
			d.Reportf(key, "not used by role %s", role)
		}
	}
}

// Key describes one key of a settings file.
type Key struct {
	Name    string // Name is the dotted key.
	Type    string
	Default string // Default is empty when there is none.
	Roles   []Role
}

// Keys describes all keys of settings files in ascending order of names.
func Keys() []Key {
	var keys []Key
	for _, k := range tomlfile.Keys(fileFromDomain(Settings{})) {
		top, _, _ := strings.Cut(k.Name, ".")
		roles, limited := roleKeys[top]
		if !limited {
			roles = Roles()
		}
		keys = append(keys, Key{Name: k.Name, Type: k.Type, Default: defaultOf(k.Name, roles[0]), Roles: roles})
	}
	return keys
}

func defaultOf(name string, role Role) string {
	if name == "role" {
		return ""
	}
	for _, k := range tomlfile.Keys(fileFromDomain(Default(role))) {
		if k.Name == name {
			return formatDefault(k.Value)
		}
	}
	return ""
}

func join[T ~string](values []T) string {
	parts := make([]string, 0, len(values))
	for _, v := range values {
		parts = append(parts, string(v))
	}
	return strings.Join(parts, ", ")
}
