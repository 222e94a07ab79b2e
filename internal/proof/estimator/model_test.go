package estimator

import (
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against a wrong fit, on points of a known line and with one point off it.
func TestFit(t *testing.T) {
	for name, c := range map[string]struct {
		points []Point
		want   Line
	}{
		"exact line":    {[]Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}}, Line{Slope: 2, Intercept: 3}},
		"constant":      {[]Point{{1, 4}, {10, 4}}, Line{Intercept: 4}},
		"one point off": {[]Point{{0, 0}, {1, 3}, {2, 0}}, Line{Intercept: 1, MaxResidual: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Fit(c.points)
			if err != nil {
				t.Fatal(err)
			}
			if !near(got.Slope, c.want.Slope) || !near(got.Intercept, c.want.Intercept) || !near(got.MaxResidual, c.want.MaxResidual) {
				t.Errorf("got %+v; want %+v", got, c.want)
			}
		})
	}
	if _, err := Fit([]Point{{3, 1}, {3, 2}}); err == nil {
		t.Error("points of one size were fitted")
	}
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Max(1, math.Abs(b)) }

// knownSlopes returns slopes with round values, so that results can be computed by
// hand.
func knownSlopes() Slopes {
	s := Slopes{ByID: make(map[string]Slope)}
	for id, l := range map[string]Line{
		"entry.cpu.task.1300": {Slope: 4, Intercept: 20}, "entry.cpu.report": {Slope: 1}, "entry.cpu.status": {Slope: 2},
		"entry.cpu.tick": {Slope: 0.01}, "link.message.cpu": {Slope: 60}, "link.idle.cpu": {Slope: 800},
		"agent.cpu.report": {Slope: 1}, "agent.cpu.status": {Slope: 1}, "codec.report.cpu": {Slope: 1}, "codec.status.cpu": {Intercept: 2},
		"agent.cpu.task": {Intercept: 5}, "entry.memory.settled": {Slope: 2000}, "entry.memory.settled_task": {Slope: 1000},
		"link.idle.bytes": {Slope: 200}, "entry.control.bytes": {Intercept: 100}, "codec.report.bytes": {Slope: 50},
		"codec.fenced.bytes": {Slope: 400},
	} {
		s.ByID[id] = Slope{ID: id, Line: l}
	}
	busy := s.ByID["link.message.cpu"]
	busy.Points = []Point{{0, 0}, {400, 100_000}, {2000, 260_000}}
	s.ByID["link.message.cpu"] = busy
	return s
}

// Guards against wrong arithmetic in the values of the tables.
func TestModel(t *testing.T) {
	target := DesignTarget()
	s := knownSlopes()
	small := Target{Workers: 100, Slots: 10, Starts: 1000, StoreWrites: 110, Load: 0.5}
	need := small.EntryNeeds(s, 10, 5)
	for name, c := range map[string]struct{ got, want float64 }{
		"jobs of 50 tasks":                   {target.JobsPerSecond(50), 2000},
		"mean run time":                      {target.MeanRunTime(), 0.0728},
		"rows per transaction":               {small.RowsPerTransaction(5, 10), 4},
		"commit wait":                        {small.CommitWait(10), 0.05},
		"records per agent":                  {small.RecordsPerAgent(), 6000},
		"tasks in doubt of 3 workers":        {small.TasksInDoubt(3), 15},
		"jobs touched, one task each":        {small.JobsTouched(50, 1), 250},
		"jobs touched, two tasks each":       {small.JobsTouched(50, 2), 187.5},
		"outcome row":                        {OutcomeRowBytes(10, 300), 4600},
		"fence bytes":                        {small.FenceBytes(s, 10), 20e3},
		"control goroutine (400+400+600+50)": {need.DecisionCores, 1450e-6},
		"links of an entry (6 messages/s)":   {need.LinkCores, 60000e-6},
		"between points":                     {s.ByID["link.message.cpu"].Interpolate(1200), 180_000},
		"beyond the points":                  {s.ByID["link.message.cpu"].Interpolate(3000), 360_000},
		"cache of an entry (6000 tasks)":     {need.CacheBytes, 7.2e6},
		"control bytes of an agent":          {need.ControlBytes, 4000},
		"control CPU of an agent (10×410)":   {need.ControlCores, 4100e-6},
		"busy CPU of an agent (10 starts/s)": {need.BusyCores, 6090e-6},
	} {
		t.Run(name, func(t *testing.T) {
			if !near(c.got, c.want) {
				t.Errorf("got %v; want %v", c.got, c.want)
			}
		})
	}
}

// Guards against a row that exceeds its limit and is marked as carried.
func TestLimitedRow(t *testing.T) {
	if r := limited(Row{}, 2, 1, "cores"); r.Status != NotCarried || r.Headroom != "0.5×" {
		t.Errorf("row over its limit: %+v", r)
	}
	if r := limited(Row{}, 1, 4, "cores"); r.Status != Carried || r.Headroom != "4×" {
		t.Errorf("row within its limit: %+v", r)
	}
}

const root = "../../.."

func checkMechanism(t *testing.T, mechanism string) {
	t.Helper()
	file, word, _ := strings.Cut(mechanism, "#")
	data, err := os.ReadFile(filepath.Join(root, file))
	if err != nil || !strings.Contains(string(data), word) {
		t.Errorf("mechanism %s is not in the tree (%v)", mechanism, err)
	}
}

// Guards against rows of the model that name a mechanism that does not exist.
func TestMechanismsOfRowsExist(t *testing.T) {
	s := knownSlopes()
	for _, r := range DesignTarget().Rows(s) {
		checkMechanism(t, r.Mechanism)
	}
	for _, f := range DesignTarget().Failures(s) {
		checkMechanism(t, f.Mechanism)
	}
}

// Guards against a page that was edited by hand, or that names a mechanism or lacks a
// slope of the present code.
func TestPageNamesMechanismsAndSlopes(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(root, "docs/capacity-model.md"))
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	named := regexp.MustCompile("\\| `([a-z]+/[^`]+)` \\|").FindAllStringSubmatch(page, -1)
	target := DesignTarget()
	if want := len(target.Rows(knownSlopes())) + len(target.Failures(knownSlopes())); len(named) != want {
		t.Errorf("%d rows of the page name a mechanism; want %d", len(named), want)
	}
	for _, match := range named {
		checkMechanism(t, match[1])
	}
	for id := range knownSlopes().ByID {
		if !strings.Contains(page, "| "+id+" |") {
			t.Errorf("the page has no slope %s", id)
		}
	}
}

// Guards against a harness that does not measure whole jobs, because tasks get no
// result or the gatekeeper refuses starts.
func TestHarnessRunsWholeJobs(t *testing.T) {
	e := newEntry(11, 3)
	e.runJobs(5, 210)
	counters := e.state.View().Counters
	if counters.Complete != 5 || counters.Starts != 5*210 {
		t.Errorf("%d jobs complete with %d starts; want 5 with 1050", counters.Complete, counters.Starts)
	}
	a := newAgent(4)
	for range 20 {
		if err := a.runTask(payloadBytes); err != nil {
			t.Fatal(err)
		}
	}
	e = newEntry(11, 3)
	e.forward()
	e.takeOver(4, 2)
	if c := e.state.View().Counters; c.Forwards != 1 || c.Takeovers != 1 {
		t.Errorf("%d forwards and %d takeovers; want one of each", c.Forwards, c.Takeovers)
	}
}
