package launcher

import (
	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
)

// logHealth logs a change of the judgement of the endpoint, or the offer or the result of a
// probe, and counts it. There are at most two lines per probe interval and one per change.
func (c *agentControl) logHealth(d gatekeeper.HealthDecision) {
	c.counters.of(string(d.Change)).Inc(1)
	switch d.Change {
	case gatekeeper.HealthSuspect:
		c.scope.Gauge("endpoint_suspect").Update(1)
	case gatekeeper.HealthTrusted:
		c.scope.Gauge("endpoint_suspect").Update(0)
	default:
	}
	failed := make([]string, 0, len(d.Failed))
	for _, submission := range d.Failed {
		failed = append(failed, submission.String())
	}
	c.logger.Info("endpoint health",
		zap.String("change", string(d.Change)),
		zap.String("reason", d.Reason),
		zap.Strings("failed", failed),
		zap.String("entry", string(d.Entry)),
		zap.Stringer("submission", d.Task.Submission),
		zap.Int("task", d.Task.Index),
	)
}
