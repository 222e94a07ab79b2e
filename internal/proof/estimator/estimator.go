// Package estimator measures the cost of the decision code, the codec and the links
// on this machine, fits a line to each measurement, and computes from the lines the
// resources that each role needs at the target size of the design page.
package estimator

import (
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"
)

// Point is one measurement at one size.
type Point struct {
	Size  float64
	Value float64
}

// Line is the least-squares fit of points.
type Line struct {
	Slope     float64
	Intercept float64
	// MaxResidual is the largest absolute residual of a point.
	MaxResidual float64
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the least-squares line of points of at least two different sizes.
func Fit(points []Point) (Line, error) {
	n := float64(len(points))
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Value
	}
	var varX, covXY float64
	for _, p := range points {
		varX += (p.Size - sumX/n) * (p.Size - sumX/n)
		covXY += (p.Size - sumX/n) * (p.Value - sumY/n)
	}
	if len(points) < 2 || varX == 0 {
		return Line{}, fmt.Errorf("fit %d points: need two different sizes", len(points))
	}
	line := Line{Slope: covXY / varX}
	line.Intercept = (sumY - line.Slope*sumX) / n
	for _, p := range points {
		line.MaxResidual = math.Max(line.MaxResidual, math.Abs(p.Value-line.At(p.Size)))
	}
	return line, nil
}

// Slope is one measured quantity: its points and the fitted line.
type Slope struct {
	// ID names the slope in the tables of the page.
	ID string
	// What describes the measured quantity.
	What string
	// Unit is the unit of the values, Per that of the sizes.
	Unit, Per string
	Points    []Point
	Line
}

// Interpolate returns the value at a size by linear interpolation between the points,
// for costs that a single line does not fit. Beyond the last point it extrapolates
// the last segment.
func (s Slope) Interpolate(size float64) float64 {
	for i := 1; i < len(s.Points); i++ {
		a, b := s.Points[i-1], s.Points[i]
		if size <= b.Size || i == len(s.Points)-1 {
			return a.Value + (size-a.Size)*(b.Value-a.Value)/(b.Size-a.Size)
		}
	}
	return s.At(size)
}

// Slopes are all measurements by ID, with the order in which they were taken.
type Slopes struct {
	Order []string
	ByID  map[string]Slope
}

// Add fits a line to the points of a slope and stores the slope.
func (s *Slopes) Add(slope Slope) error {
	line, err := Fit(slope.Points)
	if err != nil {
		return fmt.Errorf("slope %s: %w", slope.ID, err)
	}
	slope.Line = line
	if s.ByID == nil {
		s.ByID = make(map[string]Slope)
	}
	if _, known := s.ByID[slope.ID]; !known {
		s.Order = append(s.Order, slope.ID)
	}
	s.ByID[slope.ID] = slope
	return nil
}

// measure adds a slope whose value at each size comes from a function.
func (s *Slopes) measure(slope Slope, sizes []int, value func(size int) (float64, error)) error {
	for _, size := range sizes {
		v, err := value(size)
		if err != nil {
			return fmt.Errorf("slope %s at %d: %w", slope.ID, size, err)
		}
		slope.Points = append(slope.Points, Point{Size: float64(size), Value: v})
	}
	return s.Add(slope)
}

// cpuTime is the processor time of this process, including garbage collection.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		// The call fails only for a bad argument.
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const (
	// cpuRepeats is how often a CPU measurement is taken. The minimum is used, since
	// other load on the machine can only increase the result.
	cpuRepeats = 3
	// minCPUPerRepeat is the minimum CPU time of one measurement. It is long compared
	// with the resolution of the clock.
	minCPUPerRepeat = 40 * time.Millisecond
)

// cpuPer returns the CPU time per call in microseconds. The function gets the
// number of calls to make.
func cpuPer(run func(calls int)) float64 {
	run(1)
	calls := 1
	best := math.Inf(1)
	for taken := 0; taken < cpuRepeats; {
		runtime.GC()
		before := cpuTime()
		run(calls)
		spent := cpuTime() - before
		if spent < minCPUPerRepeat {
			calls *= 2
			continue
		}
		taken++
		best = math.Min(best, float64(spent)/float64(time.Microsecond)/float64(calls))
	}
	return best
}

// heapBytes returns the heap bytes that the result of build retains.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	retained := build()
	after := liveHeap()
	runtime.KeepAlive(retained)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	// The second collection frees what the first one only finalised.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuOnce returns the minimum CPU time in microseconds of the function that prepare
// returns. prepare is called anew for each repetition.
func cpuOnce(prepare func() func()) float64 {
	best := math.Inf(1)
	for range cpuRepeats {
		run := prepare()
		runtime.GC()
		before := cpuTime()
		run()
		best = math.Min(best, float64(cpuTime()-before)/float64(time.Microsecond))
	}
	return best
}
