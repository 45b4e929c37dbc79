package faultsim

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// The targets that are words.
const (
	targetAll  = "all"  // all gateways that are up, or all hosts
	targetDown = "down" // gateways that are down; not for hosts
	targetFar  = "far"  // hosts outside the gateway's zone; only for Fault.Destination
)

// targetSelector is a parsed Fault.Target or Fault.Destination. Exactly one of its fields is set.
type targetSelector struct {
	index int     // index of one gateway or host; -1: not set
	count int     // number of gateways or hosts that are drawn at random; -1: not set
	share float64 // share of the gateways or hosts that are drawn at random; 0: not set
	zone  int     // number of a zone, whose gateways or hosts are all selected; -1: not set
	word  string  // targetAll, targetDown or targetFar; empty: not set
}

// parseTarget parses a name (g3, h3), a number (2), a share (30%), a zone (zone 1), or the word all or down.
func parseTarget(text string) (targetSelector, error) {
	parsed := targetSelector{index: -1, count: -1, zone: -1}
	var err error
	zone, isZone := strings.CutPrefix(text, "zone ")
	switch {
	case text == targetAll || text == targetDown:
		parsed.word = text
	case isZone:
		parsed.zone, err = strconv.Atoi(zone)
	case strings.HasPrefix(text, "g") || strings.HasPrefix(text, "h"):
		parsed.index, err = strconv.Atoi(text[1:])
	case strings.HasSuffix(text, "%"):
		parsed.share, err = parseShare(text)
	default:
		parsed.count, err = strconv.Atoi(text)
	}
	if err != nil || parsed.index < -1 || parsed.count < -1 || parsed.zone < -1 {
		err = fmt.Errorf("expected "+
			"a name (g3, h3), a number, a share (30%%), a zone (zone 1), all or down, got %q", text)
	}
	return parsed, err
}

// parseShare parses a percentage above 0 and at most 100.
func parseShare(text string) (float64, error) {
	percentage, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
	share := percentage / 100
	if err == nil && !(share > 0 && share <= 1) {
		err = fmt.Errorf("expected more than 0%% and at most 100%%, got %q", text)
	}
	return share, err
}

// isRandom reports whether the target is drawn at random among the eligible gateways or hosts.
func (t *targetSelector) isRandom() bool { return t.count >= 0 || t.share > 0 }

// number returns how many gateways or hosts the target selects. A share is a share of total. A target that is not random
// selects all that are eligible.
func (t *targetSelector) number(total, eligible int) int {
	switch {
	case t.count >= 0:
		return t.count
	case t.share > 0:
		return int(math.Round(t.share * float64(total)))
	}
	return eligible
}
