package digest

// Fan is the number of children of each prefix: four bits of the key a level.
const Fan = 16

const bits = 4

// MaxDepth is the deepest prefix; sixteen levels of four bits are the whole key.
const MaxDepth = 16

// Entry is one row of a table: Key places it and Sum changes with its content.
type Entry struct {
	Key uint64
	Sum uint64
}

// Sum is the sum over the rows below a prefix.
type Sum struct {
	Rows int
	XOR  uint64
}

// Prefix names the rows whose key begins with the top Depth*4 bits of Bits.
type Prefix struct {
	Bits  uint64
	Depth int
}

// Child returns the i-th prefix below p.
func (p Prefix) Child(i int) Prefix {
	shift := 64 - bits*(p.Depth+1)
	return Prefix{Bits: p.Bits | uint64(i)<<shift, Depth: p.Depth + 1}
}

// Holds reports whether key lies below p.
func (p Prefix) Holds(key uint64) bool {
	if p.Depth <= 0 {
		return true
	}
	shift := 64 - bits*p.Depth
	return key>>shift == p.Bits>>shift
}

// Valid reports whether p can be divided further; prefixes come from other processes.
func (p Prefix) Valid() bool { return p.Depth >= 0 && p.Depth < MaxDepth }

// Total returns the sum over all entries, which is equal for equal tables.
func Total(entries []Entry) uint64 {
	var x uint64
	for _, e := range entries {
		x ^= e.Sum
	}
	return x
}

// Sums returns the sum of each child of p; p must be Valid.
func Sums(entries []Entry, p Prefix) []Sum {
	sums := make([]Sum, Fan)
	shift := 64 - bits*(p.Depth+1)
	for _, e := range entries {
		if !p.Holds(e.Key) {
			continue
		}
		s := &sums[e.Key>>shift&(Fan-1)]
		s.Rows++
		s.XOR ^= e.Sum
	}
	return sums
}

// Differing returns the children whose sums differ; both lists must have Fan sums.
func Differing(a, b []Sum) []int {
	var list []int
	for i := range Fan {
		if a[i] != b[i] {
			list = append(list, i)
		}
	}
	return list
}
