// Package rendezvous ranks members for a key by highest random weight. The rank
// of two members does not depend on which other members exist, so a join or a
// leave moves only the keys of that member.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a member for a key. The member with the highest
// weight holds the key.
func Weight(key, member string) uint64 {
	return Combine(xxhash.Sum64String(key), xxhash.Sum64String(member))
}

// Hash returns the hash of a key or a member name for Combine.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Combine returns the weight of a hashed member for a hashed key. The
// finaliser of MurmurHash3 makes all bits depend on both hashes.
func Combine(key, member uint64) uint64 {
	x := key ^ (member*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
