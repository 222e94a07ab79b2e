// Package parser reads settings written as JSON with comments: the operators'
// settings tree, and the settings files of the daemons. It collects all findings
// with their locations, so that one run reports every error.
package parser

import (
	"fmt"
	"os"
	"reflect"

	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Checker is implemented by process settings that check their own values. Paths
// are dotted, such as listen.address; a finding about an absent value is located
// at its innermost enclosing object that is present.
type Checker interface {
	Check(report func(path, message string))
}

// Parse reads the operators' settings tree. Source names the file or request in
// the findings. If there are findings, the tree is empty and must not be used.
func Parse(source string, data []byte) (resolver.Tree, []Finding) {
	doc := newDocument(source, data, treeLevel)
	var tree resolver.Tree
	if value, ok := doc.parse(); ok {
		doc.decode(value, reflect.ValueOf(&tree).Elem(), "")
		checkTree(doc, &tree)
	}
	if len(doc.findings) > 0 {
		sortFindings(doc.findings)
		return resolver.Tree{}, doc.findings
	}
	return tree, nil
}

// ReadInto reads the settings file of a process and reports all findings together.
func ReadInto[T any](path string, defaults T) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return defaults, fmt.Errorf("read settings file: %w", err)
	}
	config, findings := ParseInto(path, data, defaults)
	return config, Join(findings)
}

// ParseInto reads process settings into a T. Keys that are absent keep the value
// of defaults; slices and maps that are present replace those of defaults. If *T
// implements Checker, its findings are included. If there are findings, the result
// is defaults and must not be used.
func ParseInto[T any](source string, data []byte, defaults T) (T, []Finding) {
	doc := newDocument(source, data, nil)
	result := defaults
	if value, ok := doc.parse(); ok {
		doc.decode(value, reflect.ValueOf(&result).Elem(), "")
		if checker, ok := any(&result).(Checker); ok {
			checker.Check(func(at, message string) { doc.report(path(at), message) })
		}
	}
	if len(doc.findings) > 0 {
		sortFindings(doc.findings)
		return defaults, doc.findings
	}
	return result, nil
}
