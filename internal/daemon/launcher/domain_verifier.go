package launcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
)

// verifyTimeout limits one read of the state of the failure domain.
const verifyTimeout = time.Second

// domainVerifier reads for an agent whether its failure domain was taken out.
type domainVerifier struct {
	takenOut func(context.Context) (bool, error)
	control  *agentControl
	logger   *zap.Logger
	requests chan struct{}
	// last is the outcome of the last read. Only changes are logged.
	last string
}

func newDomainVerifier(takenOut func(context.Context) (bool, error), control *agentControl, logger *zap.Logger) *domainVerifier {
	return &domainVerifier{takenOut: takenOut, control: control, logger: logger, requests: make(chan struct{}, 1)}
}

// request asks for one read. A request during a read is dropped.
func (d *domainVerifier) request() {
	select {
	case d.requests <- struct{}{}:
	default:
	}
}

// Run carries out the requested reads until ctx ends.
func (d *domainVerifier) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.requests:
			d.verify(ctx)
		}
	}
}

func (d *domainVerifier) verify(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	out, err := d.takenOut(ctx)
	if err != nil {
		d.log("unknown", zap.Error(err))
		return
	}
	state := "in"
	if out {
		state = "out"
	}
	d.log(state)
	d.control.post(gatekeeper.DomainVerified{Out: out})
}

func (d *domainVerifier) log(outcome string, fields ...zap.Field) {
	if outcome != d.last {
		d.logger.Warn("no entry confirms the settings; read the state of the failure domain from the store",
			append(fields, zap.String("state", outcome))...)
	}
	d.last = outcome
}
