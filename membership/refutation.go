package membership

// handleRumorAboutSelf refutes a rumor about this member with a newer incarnation, unless the rumor is outdated or says
// that this member is alive in its current incarnation.
func (v *View) handleRumorAboutSelf(rumor *Rumor) {
	switch {
	case rumor.State == Alive && rumor.Incarnation <= v.self.Incarnation:
	case rumor.Incarnation >= v.self.Incarnation:
		if rumor.State != Alive {
			v.counters.refutations++
			v.health.degrade()
		}
		v.advanceIncarnation(rumor.Incarnation)
	case rumor.State == Dead && v.now-v.lastRefutedAt > refutationGraceMs:
		v.disputeTimes = append(v.disputeTimes, v.now)
	}
}

// handleRumorsAboutSelf handles the rumors of a message that are about this member, and ignores the others.
func (v *View) handleRumorsAboutSelf(rumors []Rumor) {
	for i := range rumors {
		if rumors[i].Subject == v.id {
			v.handleRumorAboutSelf(&rumors[i])
		}
	}
}

// advanceIncarnation raises this member's incarnation above its current one and above another one, and gossips it.
func (v *View) advanceIncarnation(above uint64) {
	v.toggleDigest(v.self)
	v.self.Incarnation = max(above, v.self.Incarnation) + 1
	v.toggleDigest(v.self)
	v.lastRefutedAt = v.now
	v.enqueueRumor(v.self, true)
}
