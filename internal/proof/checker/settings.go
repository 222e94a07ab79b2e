package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/burdockrudder/burdockrudder/internal/proof/driver"
)

// MaxSettingsAge is the maximum time for which a process may apply a version after it
// was replaced by a newer one.
const MaxSettingsAge = 4 * time.Second

// noReturn is the return time of an operation that was not answered. It is later than
// the end of every run.
const noReturn = int64(24 * time.Hour)

type settingsKind uint8

const (
	settingsAccepted settingsKind = iota
	settingsConflict
	settingsUnknown
	settingsObserved
)

// settingsOp is an operation on the settings register: a compare-and-set from a
// version to the next one, or the observation of the version that a process applies.
type settingsOp struct {
	kind    settingsKind
	version uint64
}

// CheckSettings checks the settings changes of a run and the versions that processes
// applied: the compare-and-set is linearizable, an applied version was the newest one
// at some time within the preceding MaxSettingsAge, and no process returns to a lower
// version.
func CheckSettings(w *driver.World) error {
	if err := checkMonotonic(w.Observations); err != nil {
		return err
	}
	return check(settingsModel(), settingsHistory(w))
}

func checkMonotonic(observations []driver.SettingsObservation) error {
	last := make(map[string]uint64)
	for _, observed := range observations {
		process := string(observed.Process)
		if observed.Version < last[process] {
			return fmt.Errorf("%w: %s returned from settings version %d to %d at %s",
				ErrNotLinearizable, process, last[process], observed.Version, observed.At)
		}
		last[process] = observed.Version
	}
	return nil
}

func settingsHistory(w *driver.World) []porcupine.Operation {
	var operations []porcupine.Operation
	for _, change := range w.Changes {
		op := porcupine.Operation{
			Input: settingsOp{kind: settingsUnknown, version: change.Expected},
			Call:  int64(change.From), Return: noReturn,
		}
		switch {
		case change.Accepted:
			op.Input, op.Return = settingsOp{kind: settingsAccepted, version: change.Expected}, int64(change.To)
		case change.Conflict:
			op.Input, op.Return = settingsOp{kind: settingsConflict, version: change.Expected}, int64(change.To)
		}
		operations = append(operations, op)
	}
	for _, observed := range firstAndLastObservations(w.Observations) {
		operations = append(operations, porcupine.Operation{
			Input: settingsOp{kind: settingsObserved, version: observed.Version},
			Call:  int64(observed.At - MaxSettingsAge), Return: int64(observed.At),
		})
	}
	return operations
}

// firstAndLastObservations returns the first and the last observation of each version.
// If the version was the newest one within MaxSettingsAge at both of them, this also
// holds for all observations between them.
func firstAndLastObservations(observations []driver.SettingsObservation) []driver.SettingsObservation {
	first := make(map[uint64]bool)
	last := make(map[uint64]int)
	for i, observed := range observations {
		last[observed.Version] = i
	}
	var distinct []driver.SettingsObservation
	for i, observed := range observations {
		if !first[observed.Version] || last[observed.Version] == i {
			distinct = append(distinct, observed)
		}
		first[observed.Version] = true
	}
	return distinct
}

func settingsModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			return [][]porcupine.Operation{slices.Clone(history)}
		},
		Init: func() any { return uint64(1) },
		Step: func(state, input, _ any) (bool, any) {
			return stepSettings(state.(uint64), input.(settingsOp))
		},
		Equal:             func(a, b any) bool { return a == b },
		DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
	}
}

func stepSettings(current uint64, op settingsOp) (bool, uint64) {
	switch op.kind {
	case settingsAccepted:
		return current == op.version, op.version + 1
	case settingsConflict:
		return current != op.version, current
	case settingsUnknown:
		// The change may have been committed or not. It is taken as committed if the
		// register still has the expected version.
		if current == op.version {
			return true, op.version + 1
		}
		return true, current
	default:
		return current == op.version, current
	}
}
