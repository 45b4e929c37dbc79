package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Host describes a host of one group by the attributes that are the same on every gateway.
type Host struct {
	ID   string
	Zone string // "" if unknown
}

// hashName returns the rendezvous hashing key of a gateway's name or a host's ID.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// rendezvousScore returns the score of a host for a gateway in rendezvous hashing. It is the same on every gateway.
func rendezvousScore(gatewayHash, hostHash uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], gatewayHash)
	binary.LittleEndian.PutUint64(key[8:], hostHash)
	return xxhash.Sum64(key[:])
}
