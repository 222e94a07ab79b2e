package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/burdockrudder/burdockrudder/internal/proof/driver"
)

// StaleBound is how old a version may be that is in force at a process.
const StaleBound = 4 * time.Second

// never is the end of an operation whose answer never came.
const never = int64(24 * time.Hour)

type settingsKind uint8

const (
	settingsAccepted settingsKind = iota
	settingsConflict
	settingsUnknown
	settingsSeen
)

// settingsOp is an operation on the settings register: a compare-and-set from a
// version to the next, or a version seen in force.
type settingsOp struct {
	kind    settingsKind
	version uint64
}

// CheckSettings checks the changes and the versions in force of a run. The
// compare-and-set is linearizable, a version seen at a process was the newest at
// some time in the last 4 s, and no process goes back to a lower version.
func CheckSettings(w *driver.World) error {
	if err := checkForward(w.Reads); err != nil {
		return err
	}
	return check(settingsModel(), settingsHistory(w))
}

func checkForward(reads []driver.SettingsSeen) error {
	last := make(map[string]uint64)
	for _, read := range reads {
		process := string(read.Process)
		if read.Version < last[process] {
			return fmt.Errorf("%w: %s went back from version %d to %d at %s",
				ErrNotLinearizable, process, last[process], read.Version, read.At)
		}
		last[process] = read.Version
	}
	return nil
}

func settingsHistory(w *driver.World) []porcupine.Operation {
	var operations []porcupine.Operation
	for _, change := range w.Changes {
		op := porcupine.Operation{
			Input: settingsOp{kind: settingsUnknown, version: change.Expected},
			Call:  int64(change.From), Return: never,
		}
		switch {
		case change.Accepted:
			op.Input, op.Return = settingsOp{kind: settingsAccepted, version: change.Expected}, int64(change.To)
		case change.Conflict:
			op.Input, op.Return = settingsOp{kind: settingsConflict, version: change.Expected}, int64(change.To)
		}
		operations = append(operations, op)
	}
	for _, read := range distinctReads(w.Reads) {
		operations = append(operations, porcupine.Operation{
			Input: settingsOp{kind: settingsSeen, version: read.Version},
			Call:  int64(read.At - StaleBound), Return: int64(read.At),
		})
	}
	return operations
}

// distinctReads keeps the first and the last sight of each version. If both were
// the newest version within the bound, so were all between them.
func distinctReads(reads []driver.SettingsSeen) []driver.SettingsSeen {
	first := make(map[uint64]bool)
	last := make(map[uint64]int)
	for i, read := range reads {
		last[read.Version] = i
	}
	var kept []driver.SettingsSeen
	for i, read := range reads {
		if !first[read.Version] || last[read.Version] == i {
			kept = append(kept, read)
		}
		first[read.Version] = true
	}
	return kept
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

func stepSettings(present uint64, op settingsOp) (bool, uint64) {
	switch op.kind {
	case settingsAccepted:
		return present == op.version, op.version + 1
	case settingsConflict:
		return present != op.version, present
	case settingsUnknown:
		// The change may have been committed or not; it counts if it still can.
		if present == op.version {
			return true, op.version + 1
		}
		return true, present
	default:
		return present == op.version, present
	}
}
