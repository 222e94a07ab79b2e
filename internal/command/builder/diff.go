package builder

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/tailscale/hujson"

	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// change is one setting that a settings file would change.
type change struct {
	Path string `json:"path"`
	// From and To are JSON values; empty means absent.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// diffSettings returns the changes from the present tree to that of a settings file,
// which is JSON with comments.
func diffSettings(present resolver.Tree, text []byte) ([]change, error) {
	standard, err := hujson.Standardize(slices.Clone(text))
	if err != nil {
		return nil, usagef("settings file: %w", err)
	}
	var proposed resolver.Tree
	if err := json.Unmarshal(standard, &proposed); err != nil {
		return nil, usagef("settings file: %w", err)
	}
	from, err := flatten(present)
	if err != nil {
		return nil, err
	}
	to, err := flatten(proposed)
	if err != nil {
		return nil, err
	}
	return compare(from, to), nil
}

// leaves maps the path of each setting to its JSON value.
type leaves map[string]string

func flatten(tree resolver.Tree) (leaves, error) {
	text, err := json.Marshal(tree)
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	found := leaves{}
	return found, found.collect("", text)
}

// collect descends into objects. An array, such as a firm's API keys, is one value: the
// order of its elements has no meaning, but the whole array is short enough to print.
func (l leaves) collect(path string, text json.RawMessage) error {
	if len(text) == 0 || text[0] != '{' {
		l[path] = string(text)
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return fmt.Errorf("decode settings at %s: %w", path, err)
	}
	for name, value := range fields {
		if err := l.collect(path+"/"+name, value); err != nil {
			return err
		}
	}
	return nil
}

func compare(from, to leaves) []change {
	paths := maps.Clone(from)
	maps.Copy(paths, to)
	changes := []change{}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if from[path] != to[path] {
			changes = append(changes, change{Path: path, From: from[path], To: to[path]})
		}
	}
	return changes
}

func changeRows(changes []change) []row {
	rows := []row{{"PATH", "FROM", "TO"}}
	for _, c := range changes {
		rows = append(rows, row{c.Path, c.From, c.To})
	}
	return rows
}

// withFindings prints the findings of rejected settings, if err has any, and returns
// err.
func withFindings(out *printer, err error) error {
	var fault *translator.Error
	if !errors.As(err, &fault) || len(fault.Findings) == 0 {
		return err
	}
	return errors.Join(err, printFindings(out, fault.Findings))
}
