// Package checker checks the history of a simulated run for linearizability, against
// two models: a submission and the settings register. The history violates the
// invariants if no order of its operations is valid in the model.
package checker

import (
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// ErrNotLinearizable is returned for a history that has no valid order of operations.
var ErrNotLinearizable = errors.New("the history is not linearizable")

// check checks each partition of the operations against the model. The error lists the
// operations of the first partition that is not linearizable.
func check(model porcupine.Model, operations []porcupine.Operation) error {
	for _, partition := range model.Partition(operations) {
		if porcupine.CheckOperations(model, partition) {
			continue
		}
		text := ""
		for _, op := range partition {
			text += fmt.Sprintf("\n  %s to %s: %s", time.Duration(op.Call), time.Duration(op.Return),
				model.DescribeOperation(op.Input, op.Output))
		}
		return fmt.Errorf("%w:%s", ErrNotLinearizable, text)
	}
	return nil
}
