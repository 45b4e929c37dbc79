package membership

// Status is this member's assessment of its own condition. Only a healthy or slow member accuses others, see mayAccuse.
type Status uint8

// The statuses of this member.
const (
	StatusJoining   Status = iota // no member has accepted its Join yet; it retries
	StatusHealthy                 // it has joined and gets answers in time
	StatusSlow                    // it gets too little processor time or too few answers, so it accuses others later
	StatusIsolated                // it has received nothing for isolatedAfterMs although it knows other members
	StatusDisputed                // others declare it dead despite its refutations, see updateStatus
	StatusNameTaken               // another process uses its name, so it stays out of the fleet and retries
	StatusLeft                    // it has left the fleet
)

// String returns the status's name in logs and reports. These names must not change, unlike the identifiers:
//
//	StatusJoining "joining", StatusHealthy "fine", StatusSlow "slow", StatusIsolated "deaf",
//	StatusDisputed "unheard", StatusNameTaken "taken", StatusLeft "gone"
func (s Status) String() string {
	return [...]string{"joining", "fine", "slow", "deaf", "unheard", "taken", "gone"}[s]
}

// MarshalText returns the status's name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

const (
	isolatedAfterMs   = 1500.0 // time without any message, or for StatusDisputed without a direct answer to a probe
	refutationGraceMs = 1500.0 // time for a refutation to spread; a declaration of death after it is a dispute
	disputeWindowMs   = 3000.0
	disputeCount      = 3 // declarations of death within disputeWindowMs that make the status StatusDisputed
	slowHealthScore   = 3 // score at which a member becomes slow; it stays slow until the score is 0
)

// updateStatus determines this member's status. The status is StatusDisputed if others declared this member dead
// disputeCount times within disputeWindowMs and no target has answered its probes directly for isolatedAfterMs. A member
// that gets direct answers is still in contact with the fleet.
func (v *View) updateStatus() {
	for len(v.disputeTimes) > 0 && v.now-v.disputeTimes[0] > disputeWindowMs {
		v.disputeTimes = v.disputeTimes[1:]
	}
	if v.status == StatusLeft || v.status == StatusNameTaken && !v.joined {
		return
	}
	others := len(v.live) + len(v.dead)
	switch {
	case !v.joined:
		v.setStatus(StatusJoining, causeNotAccepted)
	case others > 0 && v.now-v.lastReceivedAt > isolatedAfterMs:
		v.setStatus(StatusIsolated, causeNoMessages)
	case len(v.disputeTimes) >= disputeCount && v.now-v.lastAckAt > isolatedAfterMs:
		v.setStatus(StatusDisputed, causeDisputed)
	case v.health.score >= slowHealthScore || v.status == StatusSlow && v.health.score > 0:
		v.setStatus(StatusSlow, causeSlow)
	default:
		v.setStatus(StatusHealthy, causeHealthy)
	}
}

// setStatus sets this member's status and reports it if it has changed.
func (v *View) setStatus(status Status, cause string) {
	if v.status != status {
		v.status = status
		v.actions = append(v.actions, StatusChanged{status, cause})
	}
}
