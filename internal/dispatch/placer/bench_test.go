package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// BenchmarkDecisions measures one placement, which is a call of Choose, Sent and
// Returned each, at load 0.7. A time of 5,000 ns/op means 200,000 decisions per second.
func BenchmarkDecisions(b *testing.B) {
	for _, n := range []int{11, 110, 1300} {
		for _, holdBack := range []bool{false, true} {
			b.Run(fmt.Sprintf("endpoints=%d/hold_back=%v", n, holdBack), func(b *testing.B) {
				decide(b, n, Policy{HoldBack: holdBack, Margin: 1.5})
			})
		}
	}
}

func decide(b *testing.B, n int, policy Policy) {
	x := New()
	x.Policy = policy
	for i := range n {
		e := endpoint(fmt.Sprint("endpoint", i), fmt.Sprint("d", i%7), "gpu")
		e.Slots = 8
		x.Put(epoch, e)
	}
	r := rand.New(rand.NewPCG(1, 1))
	now := epoch.Add(time.Minute)
	busy := make([]string, n*8*7/10)
	q := Query{Firm: "f", Service: "s", Declared: 200 * time.Millisecond, WaitPosition: 1}
	choose := func() string {
		c, ok := x.Choose(now, r, q)
		if !ok {
			// The task was held back. It is placed anyway to keep the load constant.
			started := q
			started.WaitPosition = 0
			c, ok = x.Choose(now, r, started)
		}
		if !ok {
			b.Fatal("nothing is free")
		}
		x.Sent(now, c.Endpoint, messenger.Resources{})
		return c.Endpoint
	}
	for i := range busy {
		busy[i] = choose()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		at := i % len(busy)
		now = now.Add(10 * time.Microsecond)
		run := time.Duration(50+r.IntN(950)) * time.Millisecond
		x.Returned(now, busy[at], TaskResult{RunTime: run, Declared: 200 * time.Millisecond})
		busy[at] = choose()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}
