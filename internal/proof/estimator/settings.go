package estimator

import (
	"encoding/json"
	"fmt"

	"github.com/burdockrudder/burdockrudder/internal/settings/parser"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// settings measures the size and the CPU costs of a settings tree against the number
// of its leaves.
func (s *Slopes) settings() error {
	leaves := []int{7, 28, 112, 448}
	bytes := Slope{ID: "settings.bytes", What: "JSON bytes of a tree with 67 teams and one override per leaf", Unit: "bytes", Per: "leaf"}
	err := s.measure(bytes, leaves, func(n int) (float64, error) {
		data, err := json.Marshal(tree(n))
		return float64(len(data)), err
	})
	if err != nil {
		return err
	}
	parse := Slope{ID: "settings.parse.cpu", What: "CPU to parse and check that tree", Unit: "µs", Per: "leaf"}
	if err := s.measure(parse, leaves, parseCost); err != nil {
		return err
	}
	resolve := Slope{ID: "settings.resolve.cpu", What: "CPU to resolve every leaf of that tree", Unit: "µs", Per: "leaf"}
	err = s.measure(resolve, leaves, func(n int) (float64, error) {
		t := tree(n)
		return cpuPer(func(calls int) {
			for range calls {
				resolveAll(t)
			}
		}), nil
	})
	if err != nil {
		return err
	}
	admission := Slope{ID: "settings.admission.cpu", What: "CPU to resolve the bounds of one submission", Unit: "µs", Per: "leaf"}
	return s.measure(admission, leaves, func(n int) (float64, error) {
		t := tree(n)
		return cpuPer(func(calls int) {
			for range calls {
				t.ResolveAdmission(firmName, serviceName)
			}
		}), nil
	})
}

func parseCost(leaves int) (float64, error) {
	data, err := json.Marshal(tree(leaves))
	if err != nil {
		return 0, err
	}
	var failed error
	spent := cpuPer(func(calls int) {
		for range calls {
			if _, findings := parser.Parse("capacity", data); len(findings) > 0 {
				failed = fmt.Errorf("%d findings, the first: %+v", len(findings), findings[0])
			}
		}
	})
	return spent, failed
}

func resolveAll(t resolver.Tree) {
	for placeName, place := range t.Firms[firmName].Places {
		for domainName, domain := range place.FailureDomains {
			for service := range domain.Services {
				t.Resolve(resolver.Scope{Firm: firmName, Place: placeName, FailureDomain: domainName, Service: service})
			}
		}
	}
}
