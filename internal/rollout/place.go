package rollout

import (
	"cmp"
	"slices"
)

// A store that comes back from a copy gives out offsets again, and the operator
// writes again what it has lost. So an order is known by the place at which it was
// first read, and one that is read in a later era may be the same, an earlier one
// that the copy holds, or a new one.

const (
	// placeBits is the number of bits of a place that hold the offset. The rest is
	// enough for 8 million restores.
	placeBits = 40
	// maxEarlier bounds the earlier orders of a service that are remembered. A copy is
	// some seconds old, and an order takes longer.
	maxEarlier = 4
)

// Place returns the number of an order that was read at an offset of an era of the
// store. Numbers begin at 1, since 0 stands for no order, and rise within an era and
// from one to the next. Other positions in the store are numbered in the same way.
func Place(era uint64, offset int64) int64 { return int64(era<<placeBits) + offset + 1 }

// SplitPlace returns the era and the offset of a place.
func SplitPlace(place int64) (era uint64, offset int64) {
	return uint64(place >> placeBits), place&(1<<placeBits-1) - 1
}

func sameEra(a, b int64) bool { return a>>placeBits == b>>placeBits }

func sameOffset(a, b int64) bool { return (a^b)&(1<<placeBits-1) == 0 }

// asksTheSame reports whether two orders differ in their number at most.
func (o Order) asksTheSame(other Order) bool {
	other.Number = o.Number
	return o == other
}

// place returns the newest place at which the order was read.
func (s State) place() int64 { return max(s.Found, s.Number) }

// follows reports whether the order with a number came before that of the state.
func (s State) follows(number int64) bool {
	return slices.ContainsFunc(s.Earlier, func(o Order) bool { return o.Number == number })
}

// copied reports whether an order that was read in a later era is one that came
// before that of the state and that the copy holds, at the same offset.
func (s State) copied(o Order) bool {
	return slices.ContainsFunc(s.Earlier, func(e Order) bool { return sameOffset(e.Number, o.Number) && e.asksTheSame(o) })
}

// Records reports whether a record with the number of an order is of the state's
// order. A node that knows nothing of an earlier era takes the place in the copy as
// the order's number, while the record has the number of the earlier era.
func (s State) Records(number int64) bool {
	return number == s.Number || sameOffset(number, s.Number) && number < s.Number && !s.follows(number)
}

// sameOrder reports whether two states are of one order. The operator writes an order
// again that the store has lost, at any offset, so one that asks the same is taken for
// it unless both were read in one era, or one is known to have come before the other.
func (s State) sameOrder(o State) bool {
	if s.Number == o.Number {
		return true
	}
	return s.asksTheSame(o.Order) && !s.follows(o.Number) && !o.follows(s.Number) && (s.place() == o.place() || !sameEra(s.place(), o.place()))
}

// compareOrder returns 0 if two states are of one order under the same number, and
// otherwise which replaces the other. Nodes that know nothing of an earlier era may
// have given an order a second number; the lower one, with which its progress and
// its status are recorded, prevails.
func (s State) compareOrder(o State) int {
	switch {
	case s.sameOrder(o):
		return cmp.Compare(o.Number, s.Number)
	case s.follows(o.Number):
		return 1
	case o.follows(s.Number):
		return -1
	case sameEra(s.place(), o.place()):
		return cmp.Compare(s.place(), o.place())
	case s.place() < o.place():
		return -o.compareOrder(s)
	case o.copied(s.Order):
		return -1
	}
	return 1
}

// after returns the state with what is to be kept of the one that it replaces.
func (s State) after(o State) State {
	switch {
	case s.sameOrder(o):
		s.Found = max(s.Found, o.Found)
		if s.Number != o.Number {
			s.Found = max(s.place(), o.place())
		}
		if len(s.Earlier) == 0 {
			s.Earlier = o.Earlier
		}
	case !s.follows(o.Number):
		s.Earlier = append([]Order{o.Order}, o.Earlier...)
		s.Earlier = s.Earlier[:min(len(s.Earlier), maxEarlier)]
	}
	return s
}

// read returns the state that follows when an order was read while a state was held,
// and whether it replaces it.
func (s State) read(o Order) (State, bool) {
	if o.Number > s.place() && !sameEra(o.Number, s.place()) && s.asksTheSame(o) {
		s.Found = o.Number
		return s, true
	}
	next := NewState(o)
	return next, next.compareOrder(s) > 0
}
