package membership

import "net/netip"

// send sends a message with the sender's fields filled in, and with queued rumors up to updateBytes for all its rumors
// and records; 0: none are added. receiver is nil for one that is not known. A receiver of an older version gets a
// message of that version.
func (v *View) send(to netip.AddrPort, receiver *member, m *Message, updateBytes int) {
	m.Version = v.cfg.Version
	if receiver != nil {
		m.Version = min(m.Version, receiver.Version)
	}
	m.From, m.BootID, m.Incarnation, m.Digest = v.id, v.cfg.BootID, v.self.Incarnation, v.digest
	if updateBytes > 0 {
		v.piggyback(m, updateBytes)
	}
	if m.Version < quorumVersion {
		v.downgrade(m)
	}
	v.actions = append(v.actions, Send{to, *m})
}

// downgrade removes payloads and all accusers but one, at random so that a receiver learns of all of them in time.
func (v *View) downgrade(m *Message) {
	for i := range m.Records {
		m.Records[i].Payload, m.Records[i].PayloadVersion = nil, 0
	}
	for i := range m.Rumors {
		if accusers := m.Rumors[i].Accusers; len(accusers) > 1 {
			m.Rumors[i].Accusers = []ID{accusers[v.rng.IntN(len(accusers))]}
		}
	}
}
