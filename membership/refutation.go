package membership

// handleRumorAboutSelf refutes whatever others believe of this member but that it is alive in its present incarnation.
func (v *View) handleRumorAboutSelf(rumor *Rumor) {
	switch {
	case rumor.State == Alive && rumor.Incarnation <= v.self.Incarnation:
	case rumor.Incarnation >= v.self.Incarnation:
		if rumor.State != Alive {
			v.counters.refutations++
			v.health.degrade()
		}
		v.advanceIncarnation(rumor.Incarnation)
	case rumor.State == Dead && v.now-v.lastRefutedAt > refutationTimeMs:
		v.disputedAt = append(v.disputedAt, v.now)
	}
}

// handleRumorsAboutSelf handles only those rumors of a message that are about this member.
func (v *View) handleRumorsAboutSelf(rumors []Rumor) {
	for i := range rumors {
		if rumors[i].Subject == v.id {
			v.handleRumorAboutSelf(&rumors[i])
		}
	}
}

// advanceIncarnation raises this member's incarnation above its present one and above another one.
func (v *View) advanceIncarnation(above uint64) {
	v.toggleDigest(v.self)
	v.self.Incarnation = max(above, v.self.Incarnation) + 1
	v.toggleDigest(v.self)
	v.lastRefutedAt = v.now
	v.enqueueRumor(v.self, true)
}
