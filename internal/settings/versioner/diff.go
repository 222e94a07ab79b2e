package versioner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Difference is one value that differs between two trees. Old or New is empty
// where the value is absent.
type Difference struct {
	// Path is dotted, such as firms.lamis.places.sahel.settings.max_tasks. Keys
	// are addressed by their name.
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// Diff returns the differences between two trees in the order of their paths.
func Diff(before, after resolver.Tree) ([]Difference, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	changed, err := flatten(after)
	if err != nil {
		return nil, err
	}
	paths := maps.Clone(old)
	maps.Copy(paths, changed)
	var differences []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if !bytes.Equal(old[path], changed[path]) {
			differences = append(differences, Difference{Path: path, Old: old[path], New: changed[path]})
		}
	}
	return differences, nil
}

// flatten returns the JSON of each value, API key and declared level by path.
func flatten(tree resolver.Tree) (map[string]json.RawMessage, error) {
	flat := flattener{values: map[string]json.RawMessage{}}
	for name, firm := range tree.Firms {
		at := "firms." + name
		flat.level(at, firm.Settings)
		for _, key := range firm.Keys {
			flat.fields(at+".keys."+key.Name, key)
		}
		for team, settings := range firm.Teams {
			flat.fields(at+".teams."+team, settings)
		}
		for place, settings := range firm.Places {
			flat.place(at+".places."+place, settings)
		}
	}
	if flat.err != nil {
		return nil, fmt.Errorf("compare settings trees: %w", flat.err)
	}
	return flat.values, nil
}

// flattener collects values by path. Errors are recorded in err, so that the
// traversal needs no error checks.
type flattener struct {
	values map[string]json.RawMessage
	err    error
}

func (f *flattener) place(at string, place resolver.Place) {
	f.level(at, place.Settings)
	for name, domain := range place.FailureDomains {
		domainAt := at + ".failure_domains." + name
		f.level(domainAt, domain.Settings)
		for service, settings := range domain.Services {
			f.level(domainAt+".services."+service, settings.Settings)
		}
	}
}

// level adds the settings of a level, and an empty object for the level itself,
// because adding or removing a level without settings is a difference, too.
func (f *flattener) level(at string, settings resolver.Overrides) {
	f.values[at] = json.RawMessage("{}")
	f.fields(at+".settings", settings)
}

func (f *flattener) fields(at string, structure any) {
	data, err := json.Marshal(structure)
	if err != nil {
		f.err = err
		return
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err != nil {
		f.err = err
		return
	}
	for name, value := range members {
		f.values[at+"."+name] = value
	}
}
