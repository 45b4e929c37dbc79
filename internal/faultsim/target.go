package faultsim

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Targets that are words. targetFar is for hosts only.
const (
	targetAll  = "all"
	targetDown = "down" // gateways whose process does not run
	targetFar  = "far"  // hosts in other zones than the gateway's own
)

// targetSelector is a parsed Fault.Target or Fault.Destination. One of its fields is set.
type targetSelector struct {
	index int     // of one gateway or host; -1: not set
	count int     // as many at random; -1: not set
	share float64 // that share of them at random; 0: not set
	zone  int     // all of the zone; -1: not set
	word  string  // targetAll, targetDown or targetFar
}

// parseTarget reads a name (g3, h3), a number (2), a share (30%), a zone (zone 1), or the word all or down.
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
		err = fmt.Errorf("%q names nobody: "+
			"a name (g3), a number, a share (30%%), a zone (zone 1), all or down are known", text)
	}
	return parsed, err
}

// parseShare reads a percentage above 0.
func parseShare(text string) (float64, error) {
	percentage, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
	share := percentage / 100
	if err == nil && !(share > 0 && share <= 1) {
		err = fmt.Errorf("%q is no share", text)
	}
	return share, err
}

// isRandom reports whether the target is drawn among all that are eligible.
func (t *targetSelector) isRandom() bool { return t.count >= 0 || t.share > 0 }

// number is how many the target selects: a share is one of a total, a target that is not random selects all eligible.
func (t *targetSelector) number(total, eligible int) int {
	switch {
	case t.count >= 0:
		return t.count
	case t.share > 0:
		return int(math.Round(t.share * float64(total)))
	}
	return eligible
}
