package membership

import "slices"

// leaveFanout is the number of members that this member notifies when it leaves. They gossip the leave.
const leaveFanout = 16

// leave makes this member leave the fleet.
func (v *View) leave() {
	v.self.State = Left
	if v.joined {
		v.announceLeave()
	}
	v.setStatus(StatusLeft, causeLeaveRequested)
}

func (v *View) announceLeave() {
	var notified []*member
	for range leaveFanout {
		receiver := v.randomMember(func(m *member) bool { return slices.Contains(notified, m) })
		if receiver == nil {
			continue
		}
		notified = append(notified, receiver)
		v.send(receiver.Addr, receiver, &Message{Kind: Gossip, Rumors: []Rumor{v.self.rumor(Left)}}, 0)
	}
}
