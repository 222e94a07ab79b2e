package limiter

import "github.com/burdockrudder/burdockrudder/internal/settings/resolver"

// Teams contains the quotas of all teams at one entry and the numbers of their tasks. A
// team without settings has weight 1 and no limits.
type Teams struct {
	accounts map[teamKey]*account
}

type teamKey struct{ firm, team string }

// account is the quota of one team and the numbers of its tasks. Queues hold pointers to
// accounts.
type account struct {
	quota            resolver.Team
	running, waiting int
}

// NewTeams returns an empty Teams.
func NewTeams() *Teams {
	return &Teams{accounts: make(map[teamKey]*account)}
}

// Set replaces the settings of a team. If a limit is lowered, tasks that already run
// beyond it finish, and none starts until the team is below the limit.
func (t *Teams) Set(firm, team string, quota resolver.Team) {
	t.account(firm, team).quota = quota
}

// MayStart reports whether the team is below its limit of running tasks.
func (t *Teams) MayStart(firm, team string) bool {
	return t.account(firm, team).mayStart()
}

// MayWait reports whether the given number of the team's tasks may be queued in
// addition, under its limit of waiting tasks.
func (t *Teams) MayWait(firm, team string, tasks int) bool {
	a := t.account(firm, team)
	return a.quota.MaxWaitingTasks <= 0 || a.waiting+tasks <= a.quota.MaxWaitingTasks
}

// AddWaiting adds tasks that wait outside the queues to the team's waiting tasks, or
// removes them if the number is negative.
func (t *Teams) AddWaiting(firm, team string, tasks int) {
	t.account(firm, team).waiting += tasks
}

// Started records that a task of the team was sent to an agent.
func (t *Teams) Started(firm, team string) {
	t.account(firm, team).running++
}

// Ended records that a task of the team is no longer outstanding.
func (t *Teams) Ended(firm, team string) {
	a := t.account(firm, team)
	a.running = max(0, a.running-1)
}

// Running returns the number of the team's tasks that have been sent and have not ended.
func (t *Teams) Running(firm, team string) int {
	return t.account(firm, team).running
}

// Waiting returns the number of the team's waiting tasks.
func (t *Teams) Waiting(firm, team string) int {
	return t.account(firm, team).waiting
}

func (t *Teams) account(firm, team string) *account {
	key := teamKey{firm, team}
	a, known := t.accounts[key]
	if !known {
		a = &account{}
		t.accounts[key] = a
	}
	return a
}

func (a *account) mayStart() bool {
	return a.quota.MaxRunningTasks <= 0 || a.running < a.quota.MaxRunningTasks
}

func (a *account) weight() float64 {
	return float64(max(1, a.quota.Weight))
}
