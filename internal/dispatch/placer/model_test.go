package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

var epoch = time.Unix(1_000_000, 0)

func endpoint(name, failureDomain string, labels ...string) Endpoint {
	return Endpoint{
		Name:   name,
		Scope:  resolver.Scope{Firm: "f", Place: "p", FailureDomain: failureDomain, Service: "s"},
		Labels: labels, Slots: 3, EjectAfter: 2, EjectFor: 2 * time.Second, RampUp: time.Second,
	}
}

// check compares the counts and the free lists of the index with values computed anew
// from the members.
func check(t *rapid.T, x *Index) {
	for _, p := range x.pools {
		out, unblocked, eligible := 0, map[*domain]int{}, map[*domain]int{}
		for _, m := range p.members {
			if m.phase != phaseIn {
				out++
			}
			if m.blocks == 0 {
				unblocked[m.domain]++
				if m.phase == phaseIn {
					eligible[m.domain]++
				}
			}
		}
		if out != p.ejected || 2*out > len(p.members) {
			t.Fatalf("%d of %d members ejected, the count is %d", out, len(p.members), p.ejected)
		}
		for _, d := range p.domains {
			if d.unblocked != unblocked[d] || d.eligible != eligible[d] {
				t.Fatalf("domain counts %+v, want unblocked %d, eligible %d", *d, unblocked[d], eligible[d])
			}
			if d.unblocked > 0 && d.eligible == 0 {
				t.Fatal("every unblocked endpoint of a failure domain is ejected")
			}
		}
		for _, c := range append(p.labelled[:len(p.labelled):len(p.labelled)], p.all) {
			checkClass(t, p, c)
		}
	}
}

func checkClass(t *rapid.T, p *pool, c *class) {
	free, unblocked, eligible := map[*member]bool{}, 0, 0
	for _, m := range p.members {
		if !offers(m.Labels, c.labels) {
			continue
		}
		if m.blocks == 0 {
			unblocked++
			if m.phase == phaseIn {
				eligible++
			}
		}
		ramped := !m.ramping || m.outstanding+m.otherTasks < m.rampSlots
		probe := m.phase == phaseProbing && !m.probeSent
		if m.blocks == 0 && m.outstanding+m.otherTasks < m.Slots && (m.phase == phaseIn && ramped || probe) {
			free[m] = true
		}
	}
	if unblocked != c.unblocked || eligible != c.eligible || len(free) != len(c.free) {
		t.Fatalf("class %q: unblocked %d, eligible %d, free %d; want %d, %d, %d", c.key, c.unblocked, c.eligible, len(c.free), unblocked, eligible, len(free))
	}
	for i, f := range c.free {
		if !free[f.member] || f.memberships[f.membership].freeIndex != i || f.memberships[f.membership].class != c {
			t.Fatalf("class %q: %s is in the free list wrongly or with a wrong index", c.key, f.Name)
		}
	}
}

// Guards against choosing an endpoint that is blocked, ejected or full or lacks a label,
// against free lists that differ from the members' state, against ejecting a whole
// failure domain or more than half of a service, and against choices that differ for the
// same calls and seed.
func TestIndexAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, twin := New(), New()
		x.Policy.HoldBack = rapid.Bool().Draw(t, "hold back")
		twin.Policy = x.Policy
		seed := rapid.Uint64().Draw(t, "seed")
		r, twinRand := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 1))
		now := epoch
		both := func(call func(x *Index)) { call(x); call(twin) }
		known := rapid.IntRange(1, 24).Draw(t, "known")
		name := func(t *rapid.T) string { return fmt.Sprint("e", rapid.IntRange(0, known).Draw(t, "name")) }
		block := rapid.SampledFrom([]BlockReason{BlockSilent, BlockDomainOut, BlockDraining})
		labels := rapid.SampledFrom([][]string{nil, {"a"}, {"b"}, {"a", "b"}})
		verdict := rapid.SampledFrom([]Outcome{Succeeded, Failed, Failed, Failed, Failed, NotStarted, Lost})
		millis := rapid.IntRange(1, 3000)
		for i := range known {
			e := endpoint(fmt.Sprint("e", i), fmt.Sprint("d", i%3), labels.Draw(t, "labels")...)
			both(func(x *Index) { x.Put(now, e) })
		}
		now = now.Add(time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				domain := rapid.SampledFrom([]string{"d0", "d1", "d2"}).Draw(t, "domain")
				e := endpoint(name(t), domain, labels.Draw(t, "labels")...)
				both(func(x *Index) { x.Put(now, e) })
			},
			"remove": func(t *rapid.T) { n := name(t); both(func(x *Index) { x.Remove(n) }) },
			"block": func(t *rapid.T) {
				n, b := name(t), block.Draw(t, "reason")
				both(func(x *Index) { x.Block(now, n, b) })
			},
			"unblock": func(t *rapid.T) {
				n, b := name(t), block.Draw(t, "reason")
				both(func(x *Index) { x.Unblock(now, n, b) })
			},
			"report": func(t *rapid.T) {
				n := name(t)
				load := messenger.EndpointLoad{Running: rapid.IntRange(0, 4).Draw(t, "running"), Draining: rapid.Bool().Draw(t, "draining")}
				both(func(x *Index) { x.UpdateLoad(now, n, load) })
			},
			"returned": func(t *rapid.T) {
				n := name(t)
				result := TaskResult{RunTime: time.Duration(millis.Draw(t, "run")) * time.Millisecond, Outcome: verdict.Draw(t, "verdict")}
				both(func(x *Index) { x.Returned(now, n, result) })
			},
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(millis.Draw(t, "ms")) * time.Millisecond) },
			"choose": func(t *rapid.T) {
				q := Query{Firm: "f", Service: "s", Labels: labels.Draw(t, "labels"), Avoid: name(t), Urgent: rapid.Bool().Draw(t, "urgent"), WaitPosition: rapid.IntRange(0, 3).Draw(t, "waiting")}
				choice, ok := x.Choose(now, r, q)
				if again, _ := twin.Choose(now, twinRand, q); again != choice {
					t.Fatalf("choices %+v and %+v differ with the same seed", choice, again)
				}
				if !ok {
					return
				}
				checkChoice(t, x, q, choice)
				both(func(x *Index) { x.Sent(now, choice.Endpoint, messenger.Resources{}) })
			},
			"": func(t *rapid.T) { check(t, x) },
		})
	})
}

func checkChoice(t *rapid.T, x *Index, q Query, choice Choice) {
	m := x.members[choice.Endpoint]
	state := x.State(choice.Endpoint)
	if state != StateIn && state != StateRamping && state != StateProbing {
		t.Fatalf("%s was chosen while %s", m.Name, state)
	}
	if m.outstanding+m.otherTasks >= m.Slots {
		t.Fatalf("%s was chosen while full", m.Name)
	}
	if !offers(m.Labels, q.Labels) {
		t.Fatalf("%s offers %v, not %v", m.Name, m.Labels, q.Labels)
	}
	if m.Name != q.Avoid {
		return
	}
	for _, other := range x.members {
		if other != m && other.eligible && offers(other.Labels, q.Labels) {
			t.Fatalf("%s was chosen although it should be avoided and %s is eligible", m.Name, other.Name)
		}
	}
}
