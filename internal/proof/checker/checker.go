// Package checker checks the history of a run against two models: the
// submission object and the settings register. A history that no order of its
// operations explains breaks the invariants.
package checker

import (
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// ErrNotLinearizable is returned for a history that its model cannot explain.
var ErrNotLinearizable = errors.New("the history is not linearizable")

// check runs a model over the operations and names the partition that fails.
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
