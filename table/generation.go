package table

import "strconv"

// generationPrefix is the key prefix of the rows that mark the generations of the table in
// which something was written.
const generationPrefix = "generation/"

// markedGenerations is the number of generations that are marked by the first transaction of
// a client, the current one included. A transaction can be applied late in the next
// generation, or after several restores that follow each other quickly.
const markedGenerations = 3

func generationKey(generation int64) string {
	return generationPrefix + strconv.FormatInt(generation, 10)
}

// boundToGeneration returns a transaction that is applied only in the given generation of
// the table. A transaction can be applied some time after it was sent; in a later generation
// its checks may meet versions that were given out again. It therefore requires that
// the next generation is not marked yet. The first transaction of a client marks the current one.
func (tx Tx) boundToGeneration(generation int64, mark bool) Tx {
	bound := Tx{Deletes: tx.Deletes}
	bound.Checks = append(append(bound.Checks, tx.Checks...), Check{Key: generationKey(generation + 1), Generation: generation})
	bound.Puts = append(bound.Puts, tx.Puts...)
	if mark {
		for g := max(1, generation-markedGenerations+1); g <= generation; g++ {
			bound.Puts = append(bound.Puts, Put{Key: generationKey(g)})
		}
	}
	return bound
}
