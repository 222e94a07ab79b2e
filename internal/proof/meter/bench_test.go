package meter

import (
	"flag"
	"testing"
	"time"
)

var (
	seeds = flag.Int("seeds", 3, "seeds per variant of BenchmarkResponse")
	span  = flag.Duration("span", 5*time.Minute, "virtual time of the load of BenchmarkResponse")
)

const lamisDelay, apfmDelay = 3 * time.Millisecond, time.Millisecond

// BenchmarkResponse prints one line of measures per variant. The first two variants
// are the deployments; the others change single causes of the gap to the ideal.
func BenchmarkResponse(b *testing.B) {
	variants := []struct {
		name   string
		change func(o *Options)
	}{
		{"lamis", func(*Options) {}},
		{"apfm", func(o *Options) { o.ClientDelay = apfmDelay }},
		{"bursts", func(o *Options) { o.Bursts = true }},
		{"entries=1", func(o *Options) { o.Entries = 1 }},
		{"bursts,entries=1", func(o *Options) { o.Bursts = true; o.Entries = 1 }},
		{"entries=6", func(o *Options) { o.Entries = 6 }},
		{"agents=110", func(o *Options) { o.Agents = 110; o.Span /= 5 }},
		{"exact_declared", func(o *Options) { o.DeclaredError = 1 }},
		{"no_delays", func(o *Options) { o.ClientDelay, o.LinkDelay, o.WriteLatency = 0, 0, 0 }},
		{"no_stragglers", func(o *Options) { o.StragglerShare = 0 }},
		{"entries=1,exact", func(o *Options) { o.Entries = 1; o.DeclaredError = 1 }},
	}
	for _, v := range variants {
		b.Run(v.name, func(b *testing.B) {
			for b.Loop() {
				measure(b, v.change)
			}
		})
	}
}

func measure(b *testing.B, change func(o *Options)) {
	result := NewResult()
	for seed := range *seeds {
		o := Defaults(uint64(seed+1), lamisDelay)
		o.Span = *span
		change(&o)
		if err := result.AddRun(o); err != nil {
			b.Fatal(err)
		}
	}
	if result.Incomplete > 0 {
		b.Errorf("%d jobs did not complete", result.Incomplete)
	}
	_, wasted := result.Messages.WastedPerStart()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(result.All.Percentile(50), "p50")
	b.ReportMetric(result.All.Percentile(90), "p90")
	b.ReportMetric(result.All.Percentile(99), "p99")
	b.ReportMetric(result.High.Percentile(50), "high_p50")
	b.ReportMetric(result.High.Percentile(90), "high_p90")
	b.ReportMetric(result.High.Percentile(99), "high_p99")
	b.ReportMetric(wasted, "wasted/start")
	b.ReportMetric(float64(result.Reports)/result.AgentSeconds, "reports/s/agent")
}
