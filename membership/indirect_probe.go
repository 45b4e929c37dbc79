package membership

import (
	"net/netip"
	"slices"
)

// requestIndirectProbes asks other members to probe the target of a probe: Tuning.IndirectProbes of them, or
// maxIndirectProbes after an earlier probe of the target that failed unconfirmed and in a failure burst.
func (v *View) requestIndirectProbes(p *probe) {
	count := v.cfg.IndirectProbes
	if p.target.unconfirmedProbes > 0 || v.isFailureBurst() { // members that are asked may be dead as well
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

// maxConcurrentIndirectProbes bounds the work that other members can cause.
const maxConcurrentIndirectProbes = 64

// handlePingRequest probes a target for another member. sender is nil for one that is not known.
func (v *View) handlePingRequest(from netip.AddrPort, sender *member, message *Message) {
	if message.Target == v.id {
		v.send(from, sender, &Message{Kind: Ack, Seq: message.Seq, Target: v.id}, 0)
		return
	}
	target := v.members[message.Target]
	if target == nil || target.Addr != message.Addr || v.countProbes(indirectProbe) >= maxConcurrentIndirectProbes {
		return
	}
	probeInFlight := target.probeInFlight // an indirect probe does not keep this member from probing the target itself
	v.startProbe(&probe{kind: indirectProbe, target: target, requester: requester{from, sender, message.Seq}})
	target.probeInFlight = probeInFlight
}

// replyToRequester sends the result of an indirect probe.
func (v *View) replyToRequester(p *probe, reply *Message) {
	reply.Seq, reply.Target = p.requester.seq, p.target.id
	v.send(p.requester.addr, p.requester.member, reply, 0)
}

// handleNack handles a member's report that the target of a probe doesn't answer it.
func (v *View) handleNack(sender *member, message *Message) {
	p := v.findProbe(message.Seq)
	if p == nil || p.target.id != message.Target || slices.Contains(p.confirmedBy, sender.id) {
		return
	}
	if len(p.confirmedBy) < maxAccusers-1 { // this member is the last one
		p.confirmedBy = append(p.confirmedBy, sender.id)
	}
}
