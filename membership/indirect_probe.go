package membership

import (
	"net/netip"
	"slices"
)

// requestIndirectProbes sends PingRequests for the target of a probe to random Alive members. It sends up to
// Tuning.IndirectProbes of them, or up to maxIndirectProbes during a failure burst or if an earlier probe of the target
// failed unconfirmed.
func (v *View) requestIndirectProbes(p *probe) {
	count := v.cfg.IndirectProbes
	if p.target.unconfirmedProbes > 0 || v.isFailureBurst() { // the helpers may be dead as well
		count = maxIndirectProbes
	}
	var chosen []*member
	for range count {
		helper := v.randomMember(func(m *member) bool {
			return m == p.target || m.State != Alive || slices.Contains(chosen, m)
		})
		if helper == nil {
			continue
		}
		chosen = append(chosen, helper)
		p.indirectRequests++
		request := &Message{Kind: PingRequest, Seq: p.seq, Target: p.target.id, Addr: p.target.Addr}
		v.send(helper.Addr, helper, request, 0)
	}
}

// maxConcurrentIndirectProbes bounds the work that the PingRequests of other members cause.
const maxConcurrentIndirectProbes = 64

// handlePingRequest starts an indirect probe of a target for another member. sender is nil if the sender is unknown.
func (v *View) handlePingRequest(from netip.AddrPort, sender *member, message *Message) {
	if message.Target == v.id {
		v.send(from, sender, &Message{Kind: Ack, Seq: message.Seq, Target: v.id}, 0)
		return
	}
	target := v.members[message.Target]
	if target == nil || target.Addr != message.Addr || v.countProbes(indirectProbe) >= maxConcurrentIndirectProbes {
		return
	}
	probeInFlight := target.probeInFlight // an indirect probe doesn't prevent this member's own probes of the target
	v.startProbe(&probe{kind: indirectProbe, target: target, requester: requester{from, sender, message.Seq}})
	target.probeInFlight = probeInFlight
}

// replyToRequester sends the result of an indirect probe to the member that requested it.
func (v *View) replyToRequester(p *probe, reply *Message) {
	reply.Seq, reply.Target = p.requester.seq, p.target.id
	v.send(p.requester.addr, p.requester.member, reply, 0)
}

// handleNack records that the sender got no answer from the target of a probe either.
func (v *View) handleNack(sender *member, message *Message) {
	p := v.findProbe(message.Seq)
	if p == nil || p.target.id != message.Target || slices.Contains(p.confirmedBy, sender.id) {
		return
	}
	if len(p.confirmedBy) < maxAccusers-1 { // leaves room for this member as an accuser
		p.confirmedBy = append(p.confirmedBy, sender.id)
	}
}
