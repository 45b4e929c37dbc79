package membership

import "net/netip"

// send sends a message with the sender's fields filled in, and with queued rumors up to updateBytes for all its rumors
// and records; 0: none are added. receiver is nil for one that is not known. A receiver of an older version gets a
// message of that version.
func (v *View) send(to netip.AddrPort, receiver *member, message *Message, updateBytes int) {
	message.Version = v.cfg.Version
	if receiver != nil {
		message.Version = min(message.Version, receiver.Version)
	}
	message.From, message.BootID, message.Incarnation, message.Digest = v.id, v.cfg.BootID, v.self.Incarnation, v.digest
	if updateBytes > 0 {
		v.piggyback(message, updateBytes)
	}
	if message.Version < quorumVersion {
		v.downgrade(message)
	}
	v.actions = append(v.actions, Send{to, *message})
}

// downgrade removes payloads and all accusers but one, at random so that a receiver learns of all of them in time.
func (v *View) downgrade(message *Message) {
	for i := range message.Records {
		message.Records[i].Payload, message.Records[i].PayloadVersion = nil, 0
	}
	for i := range message.Rumors {
		if accusers := message.Rumors[i].Accusers; len(accusers) > 1 {
			message.Rumors[i].Accusers = []ID{accusers[v.rng.IntN(len(accusers))]}
		}
	}
}
