package meter

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a stored curve that differs from the measured one, and against a
// plot that lacks a curve.
func TestDraw(t *testing.T) {
	dir := t.TempDir()
	points := []Point{{Load: 0.3, P50: 1.1, P99: 2.2}, {Load: 0.95, P50: 1.2, P99: 2.5}}
	path := filepath.Join(dir, "points.json")
	if err := WritePoints(path, points); err != nil {
		t.Fatal(err)
	}
	read, err := ReadPoints(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(points, read); diff != "" {
		t.Error(diff)
	}
	drawing := filepath.Join(dir, "plot.svg")
	if err := Draw(drawing, read, points); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(drawing)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"old p50", "old p99", "new p50", "new p99"} {
		if !bytes.Contains(text, []byte(name)) {
			t.Errorf("the plot lacks %s", name)
		}
	}
}
