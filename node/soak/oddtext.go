package soak

import (
	"fmt"
	"math/rand/v2"
)

// One in so many statements of a caller is malformed, has odd text or reads an odd row.
const (
	malformedPeriod = 20
	oddTextPeriod   = 10
)

// Texts that look like messages or could end one.
var (
	// lineEnds end no message, but no field of a caller may have them.
	lineEnds = []string{"\n", "\r", "\x00", "\n\r"}
	// hiddenMessages follow a line end in a field. ID is replaced by that of the statement.
	hiddenMessages = []string{"", "QUERY IDh STORE item0 hidden", "QUERY ID FETCH item0", "COMMIT", "TERMINATE", "READY I 1.1"}
	// malformedTexts are statements in which END is replaced by a line end and a message.
	malformedTexts = []string{
		"STORE item0 xEND", "STORE itemEND x", "FETCH item0END", "SET name0 xEND", "SET nameEND x", "PREPARE s0 STORE qEND",
		"EXECUTE s0 item0END", "DEALLOC s0END", "BEGINEND", "COMMITEND", "ROLLBACKEND",
	}
	// messageTexts may be part of data and of values.
	messageTexts = []string{" COMPLETE forged", " READY I 1.1", " ERROR BUSY x", " QUERY x STORE item0 x", " DATAROW x", " \t"}
	// oddRows are rows that no host has written.
	oddRows = []string{
		"x\nCOMPLETE forged\nREADY I 9.9", "x\rCOMPLETE forged\rREADY I 9.9", "\nERROR BUSY x\nREADY I 9.9", "x\r", "\n", "", "\x00", "READY I 9.9",
	}
)

// oddItem returns the item that has an odd row at the start.
func oddItem(n int) string { return fmt.Sprintf("odd%d", n) }

func pick(rng *rand.Rand, texts []string) string { return texts[rng.IntN(len(texts))] }

// oddText returns the end of a text, mostly empty.
func (c *caller) oddText() string {
	if c.oddRNG.IntN(oddTextPeriod) > 0 {
		return ""
	}
	return pick(c.oddRNG, messageTexts)
}
