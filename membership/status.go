package membership

// Status is what a member knows of its own condition. Only a healthy or slow member accuses others, see mayAccuse.
type Status uint8

// The statuses.
const (
	StatusJoining   Status = iota // no member has accepted it yet; it retries
	StatusHealthy                 // it takes part
	StatusSlow                    // it gets too little processor time or too few answers: it accuses later
	StatusIsolated                // it has received nothing for isolatedAfterMs although it knows other members
	StatusDisputed                // others declare it dead despite its refutations, see updateStatus
	StatusNameTaken               // another process lives under its name: it stays out and retries
	StatusLeft                    // it has left
)

// String is the status's name in logs and reports. These names don't change with the identifiers:
//
//	StatusJoining "joining", StatusHealthy "fine", StatusSlow "slow", StatusIsolated "deaf",
//	StatusDisputed "unheard", StatusNameTaken "taken", StatusLeft "gone"
func (s Status) String() string {
	return [...]string{"joining", "fine", "slow", "deaf", "unheard", "taken", "gone"}[s]
}

// MarshalText is the status's name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

const (
	isolatedAfterMs  = 1500.0 // without any message; for StatusDisputed without a direct answer to a probe
	refutationTimeMs = 1500.0 // for a refutation to reach the others: a later declaration of death disputes it
	disputeWindowMs  = 3000.0
	disputeCount     = 3 // declarations of death within disputeWindowMs
	slowHealthScore  = 3 // a slow member is healthy again at 0
)

// updateStatus determines this member's status. It is disputed after disputeCount declarations of its death within
// disputeWindowMs if no probe has been answered directly for isolatedAfterMs: a member that gets answers is in contact.
func (v *View) updateStatus() {
	for len(v.disputedAt) > 0 && v.now-v.disputedAt[0] > disputeWindowMs {
		v.disputedAt = v.disputedAt[1:]
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
	case len(v.disputedAt) >= disputeCount && v.now-v.lastAckAt > isolatedAfterMs:
		v.setStatus(StatusDisputed, causeDisputed)
	case v.health.score >= slowHealthScore || v.status == StatusSlow && v.health.score > 0:
		v.setStatus(StatusSlow, causeSlow)
	default:
		v.setStatus(StatusHealthy, causeHealthy)
	}
}

// setStatus reports a status if it has changed.
func (v *View) setStatus(status Status, cause string) {
	if v.status != status {
		v.status = status
		v.actions = append(v.actions, StatusChanged{status, cause})
	}
}
