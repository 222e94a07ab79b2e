package parser

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// namePattern is the form of all names in the tree. Names become parts of row
// keys and of URLs, so they must not contain separators.
var namePattern = regexp.MustCompile(`^[a-z0-9_-]{1,64}$`)

// path is the dotted path of a value, such as firms.lamis.keys[0].role. Names
// that do not match namePattern are quoted, so that paths stay unambiguous.
type path string

func (p path) child(name string) path {
	if !namePattern.MatchString(name) {
		name = strconv.Quote(name)
	}
	if p == "" {
		return path(name)
	}
	return p + "." + path(name)
}

func (p path) index(i int) path {
	return path(fmt.Sprintf("%s[%d]", p, i))
}

// parent drops the last element. Inside a quoted name it may return a path that
// does not exist; callers continue with the next parent.
func (p path) parent() path {
	return p[:max(strings.LastIndexAny(string(p), ".["), 0)]
}

// treeLevel returns the level of the settings tree that contains a path.
func treeLevel(p path) Level {
	steps := []struct {
		container string
		level     Level
	}{
		{"firms.", LevelFirm},
		{".places.", LevelPlace},
		{".failure_domains.", LevelFailureDomain},
		{".services.", LevelService},
	}
	rest, level := string(p), Level("")
	for _, step := range steps {
		after, ok := strings.CutPrefix(rest, step.container)
		if !ok {
			break
		}
		rest, level = cutName(after), step.level
	}
	return level
}

// cutName removes the first name of a path, quoted or not.
func cutName(rest string) string {
	if quoted, err := strconv.QuotedPrefix(rest); err == nil {
		return rest[len(quoted):]
	}
	if end := strings.IndexAny(rest, ".["); end >= 0 {
		return rest[end:]
	}
	return ""
}
