package gateway

import (
	"hash/maphash"
	"time"
)

// spentIDs remembers the ids of requests that may have run without a value for their client, and must not run again. The
// event loop owns it.
type spentIDs struct {
	lifetime time.Duration // for which an id is remembered
	seed     maphash.Seed
	spent    map[uint64]bool // by the hash of the id
	oldest   []spentID       // in the order in which they ended
}

// spentID is one id.
type spentID struct {
	hash  uint64
	until time.Duration // on the event loop's clock
}

func newSpentIDs(lifetime time.Duration) spentIDs {
	return spentIDs{lifetime: lifetime, seed: maphash.MakeSeed(), spent: map[uint64]bool{}}
}

// add remembers an id from now on.
func (ids *spentIDs) add(id []byte, now time.Duration) {
	hash := maphash.Bytes(ids.seed, id)
	ids.forgetOld(now)
	if !ids.spent[hash] {
		ids.spent[hash] = true
		ids.oldest = append(ids.oldest, spentID{hash, now + ids.lifetime})
	}
}

// contains reports whether an id is remembered.
func (ids *spentIDs) contains(id []byte, now time.Duration) bool {
	ids.forgetOld(now)
	return ids.spent[maphash.Bytes(ids.seed, id)]
}

// forgetOld forgets the ids whose lifetime is over.
func (ids *spentIDs) forgetOld(now time.Duration) {
	for len(ids.oldest) > 0 && ids.oldest[0].until <= now {
		delete(ids.spent, ids.oldest[0].hash)
		ids.oldest = ids.oldest[1:]
	}
}
