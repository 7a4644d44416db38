package digest

// Fanout is the number of children of each prefix: each level has four bits of the key.
const Fanout = 16

// bitsPerLevel is the number of bits of the key in one level.
const bitsPerLevel = 4

// MaxDepth is the depth of the longest prefix; sixteen levels of four bits are the whole key.
const MaxDepth = 16

// Entry stands for one row of a table: Key is the hash that determines its prefixes, Sum the hash of its content.
type Entry struct {
	Key uint64
	Sum uint64
}

// Sum is the digest of the rows below a prefix: their number and the XOR of their sums.
type Sum struct {
	Rows int
	XOR  uint64
}

// Prefix selects the rows whose key begins with the top Depth*4 bits of Bits.
type Prefix struct {
	Bits  uint64
	Depth int
}

// Child returns the i-th prefix below p.
func (p Prefix) Child(i int) Prefix {
	shift := 64 - bitsPerLevel*(p.Depth+1)
	return Prefix{Bits: p.Bits | uint64(i)<<shift, Depth: p.Depth + 1}
}

// Contains reports whether key begins with p.
func (p Prefix) Contains(key uint64) bool {
	if p.Depth <= 0 {
		return true
	}
	shift := 64 - bitsPerLevel*p.Depth
	return key>>shift == p.Bits>>shift
}

// Valid reports whether p has children; prefixes come from other processes and may be out of range.
func (p Prefix) Valid() bool { return p.Depth >= 0 && p.Depth < MaxDepth }

// Selects reports whether p has rows: a prefix of MaxDepth has, and no children.
func (p Prefix) Selects() bool { return p.Depth >= 0 && p.Depth <= MaxDepth }

// Total returns the digest of all entries, which is equal for equal tables.
func Total(entries []Entry) uint64 {
	var x uint64
	for _, e := range entries {
		x ^= e.Sum
	}
	return x
}

// Sums returns the digest of each child of p; p must be Valid.
func Sums(entries []Entry, p Prefix) []Sum {
	sums := make([]Sum, Fanout)
	shift := 64 - bitsPerLevel*(p.Depth+1)
	for _, e := range entries {
		if !p.Contains(e.Key) {
			continue
		}
		s := &sums[e.Key>>shift&(Fanout-1)]
		s.Rows++
		s.XOR ^= e.Sum
	}
	return sums
}

// Differing returns the indexes of the children whose sums differ; both lists must have Fanout sums.
func Differing(a, b []Sum) []int {
	var list []int
	for i := range Fanout {
		if a[i] != b[i] {
			list = append(list, i)
		}
	}
	return list
}
