// Package rng provides random numbers and hashes that depend on their inputs alone: CRC-32 with its bits mixed, as CRC
// by itself is linear.
package rng

import (
	"hash/crc32"
	"strconv"
)

// mix is the integer finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func uniform(x uint64) float64 { return (float64(mix(x)>>11) + 0.5) / (1 << 53) }

// Source is a deterministic source of random numbers. It is not safe for concurrent use.
type Source struct{ Seed, n uint64 }

// Next returns the next random number, between 0 and 1 exclusive.
func (d *Source) Next() float64 {
	d.n++
	c := crc32.ChecksumIEEE(strconv.AppendUint(strconv.AppendUint(nil, d.Seed, 36), d.n, 36))
	return uniform(uint64(c)<<32 ^ d.n)
}

// Hash hashes a key and an ID to a number between 0 and 1 exclusive.
func Hash(key, id string) float64 {
	h := crc32.ChecksumIEEE([]byte(key))
	return uniform(uint64(h)<<32 | uint64(crc32.Update(h, crc32.IEEETable, []byte(id))))
}
