package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Host is a host of one group, reduced to what every gateway knows alike.
type Host struct {
	ID   string
	Zone string // "" if unknown
}

// hashName is the key of a gateway's name or a host's ID in rendezvous hashing.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// rendezvousScore is the weight of a host for a gateway in rendezvous hashing. It is the same on every gateway.
func rendezvousScore(gatewayHash, hostHash uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], gatewayHash)
	binary.LittleEndian.PutUint64(key[8:], hostHash)
	return xxhash.Sum64(key[:])
}
