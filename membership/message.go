package membership

import (
	"fmt"
	"net/netip"
)

// Version is the newest version of messages that this package speaks. Version 1 has one accuser in a rumor and no
// payload in a record.
const Version = 2

// quorumVersion is the first version with several accusers in a rumor and a payload in a record.
const quorumVersion = 2

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping         Kind = iota + 1 // asks Target for an Ack
	Ack                          // answers a Ping, or a PingRequest for Target
	PingRequest                  // asks the receiver to ping Target at Addr
	Nack                         // answers a PingRequest: Target did not answer
	Gossip                       // carries rumors only
	Join                         // Records[0] is the sender, which asks to join the fleet
	JoinAccepted                 // answers a Join: the joiner is a member now
	JoinRejected                 // answers a Join: another process with that name lives at Addr
	SyncRequest                  // Buckets holds the digests of the sender's view
	SyncResponse                 // answers a SyncRequest: records of the buckets that differ
	kindCount
)

// Known reports whether a kind is one of this version's.
func (k Kind) Known() bool { return k > 0 && k < kindCount }

// String is the kind's name in logs and reports. These names don't change with the identifiers:
//
//	Ping "ping", Ack "ack", PingRequest "ask", Nack "nack", Gossip "gossip", Join "join", JoinAccepted "welcome",
//	JoinRejected "refused", SyncRequest "compare", SyncResponse "page"
func (k Kind) String() string {
	if !k.Known() {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return [...]string{"", "ping", "ack", "ask", "nack", "gossip", "join", "welcome", "refused", "compare", "page"}[k]
}

// Message is a message between two members. Every kind may carry rumors and records.
type Message struct {
	Kind        Kind
	Version     uint8
	From        ID
	BootID      uint64 // of the sender
	Incarnation uint64 // of the sender
	Seq         uint32 // of the Ping or PingRequest, and of its answer
	Attempt     uint8  // of the Ping, from 0; its answer repeats it
	Target      ID     // of the kinds that name it; in an Ack 0: the answer to a Ping comes from its target itself
	Addr        netip.AddrPort
	Digest      uint64 // of all members that the sender believes to be live
	Buckets     []uint64
	Rumors      []Rumor
	Records     []Record
}

// introduction is the sender's own record if the message begins with it, else nil.
func (m *Message) introduction() *Record {
	if len(m.Records) == 0 || IDOf(m.Records[0].Name) != m.From || m.Records[0].BootID != m.BootID {
		return nil
	}
	return &m.Records[0]
}

// Rumor is an update about a member that the receiver knows.
type Rumor struct {
	Subject     ID
	BootTag     uint32 // low half of the subject's BootID: a rumor about another process of that name is ignored
	Incarnation uint64
	State       State
	Accusers    []ID // of a Suspect: who got no answer from it
}

// Record is everything that members send about a member.
type Record struct {
	Name           string
	Addr           netip.AddrPort
	Zone           string
	Version        uint8
	BootID         uint64
	Incarnation    uint64
	State          State
	Payload        []byte
	PayloadVersion uint64
}

// rumor is the record's state as a rumor.
func (r *Record) rumor() Rumor {
	return Rumor{Subject: IDOf(r.Name), BootTag: uint32(r.BootID), Incarnation: r.Incarnation, State: r.State}
}

// Sizes in bytes that every Send keeps to. They are upper bounds of the encoding in internal/transport, whose tests
// compare them with it.
const (
	MaxDatagramBytes = 1200 // of a datagram with everything around the message
	DatagramOverhead = 170  // everything but rumors, records and bucket digests

	rumorBytes   = 34
	accuserBytes = 9
	recordBytes  = 92 // without name, zone and payload

	maxUpdateBytes  = MaxDatagramBytes - DatagramOverhead // for rumors and records of one message
	pingUpdateBytes = 330                                 // for those that a Ping or an Ack carries
)

// Size is an upper bound of a record's encoded size, bytes.
func (r *Record) Size() int { return recordBytes + len(r.Name) + len(r.Zone) + len(r.Payload) }

// Size is an upper bound of a rumor's encoded size, bytes.
func (r *Rumor) Size() int { return rumorBytes + accuserBytes*len(r.Accusers) }
