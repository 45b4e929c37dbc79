package membership

import "net/netip"

// send fills in the sender's fields of a message, piggybacks queued rumors on it, and sends it. updateBytes is the limit
// for all rumors and records of the message; with 0, no rumors are added. receiver is nil if the receiver is unknown. A
// receiver that supports only an older message version gets a message of that version.
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

// downgrade converts a message to version 1. It removes payloads and all accusers of a rumor but a random one. As the
// choice is random, the receiver learns of all accusers from repeated messages.
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
