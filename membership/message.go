package membership

import (
	"fmt"
	"net/netip"
)

// Version is the newest message version that this package supports. In version 1 a rumor has at most one accuser and a
// record has no payload.
const Version = 2

// quorumVersion is the first message version with several accusers in a rumor and a payload in a record.
const quorumVersion = 2

// Kind is the type of a message.
type Kind uint8

// The message kinds.
const (
	Ping         Kind = iota + 1 // asks Target for an Ack
	Ack                          // answers a Ping, or a PingRequest for Target
	PingRequest                  // asks the receiver to ping Target at Addr
	Nack                         // answers a PingRequest if Target did not answer the sender
	Gossip                       // carries only rumors and records
	Join                         // asks to join the fleet; Records[0] is the sender's record
	JoinAccepted                 // answers a Join if the joiner has been accepted
	JoinRejected                 // answers a Join if another process of that name lives at Addr
	SyncRequest                  // asks for records; Buckets holds the digests of the sender's view
	SyncResponse                 // answers a SyncRequest with the records of the buckets that differ
	kindCount
)

// Known reports whether the kind is one that this package supports.
func (k Kind) Known() bool { return k > 0 && k < kindCount }

// String returns the kind's name in logs and reports. These names must not change, unlike the identifiers:
//
//	Ping "ping", Ack "ack", PingRequest "ask", Nack "nack", Gossip "gossip", Join "join", JoinAccepted "welcome",
//	JoinRejected "refused", SyncRequest "compare", SyncResponse "page"
func (k Kind) String() string {
	if !k.Known() {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return [...]string{"", "ping", "ack", "ask", "nack", "gossip", "join", "welcome", "refused", "compare", "page"}[k]
}

// Message is a message from one member to another. Every kind may carry rumors and records.
type Message struct {
	Kind        Kind
	Version     uint8
	From        ID
	BootID      uint64 // boot ID of the sender
	Incarnation uint64 // incarnation of the sender
	Seq         uint32 // sequence number of a Ping or PingRequest, repeated in its answer
	Attempt     uint8  // number of the Ping's attempt, from 0, repeated in its answer
	Target      ID     // probed member, in a Ping, PingRequest, Nack or Ack; 0 in an Ack that answers a Ping
	Addr        netip.AddrPort
	Digest      uint64 // digest of all members that are live in the sender's view
	Buckets     []uint64
	Rumors      []Rumor
	Records     []Record
}

// introduction returns the sender's own record if it is the first record of the message, else nil.
func (m *Message) introduction() *Record {
	if len(m.Records) == 0 || IDOf(m.Records[0].Name) != m.From || m.Records[0].BootID != m.BootID {
		return nil
	}
	return &m.Records[0]
}

// Rumor is an update about a member that the receiver knows.
type Rumor struct {
	Subject     ID
	BootTag     uint32 // low 32 bits of the subject's BootID; a rumor about another process of that name is ignored
	Incarnation uint64
	State       State
	Accusers    []ID // members that got no answer from the subject; only if State is Suspect
}

// Record is the complete description of a member that members send to each other.
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

// rumor returns the record's state as a rumor.
func (r *Record) rumor() Rumor {
	return Rumor{Subject: IDOf(r.Name), BootTag: uint32(r.BootID), Incarnation: r.Incarnation, State: r.State}
}

// Sizes in bytes that every Send observes. They are upper bounds of the encoded sizes. The tests of internal/transport
// compare them with the encoding.
const (
	MaxDatagramBytes = 1200 // size of a whole datagram, including the message's envelope
	DatagramOverhead = 170  // size of a datagram without rumors, records and bucket digests

	rumorBytes   = 34
	accuserBytes = 9
	recordBytes  = 92 // size of a record without name, zone and payload

	maxUpdateBytes  = MaxDatagramBytes - DatagramOverhead // limit for all rumors and records of a message
	pingUpdateBytes = 330                                 // limit for all rumors and records of a Ping or an Ack
)

// Size returns an upper bound of the record's encoded size in bytes.
func (r *Record) Size() int { return recordBytes + len(r.Name) + len(r.Zone) + len(r.Payload) }

// Size returns an upper bound of the rumor's encoded size in bytes.
func (r *Rumor) Size() int { return rumorBytes + accuserBytes*len(r.Accusers) }
