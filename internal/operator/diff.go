package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 2

type diffLine struct {
	mark byte // ' ', '-' or '+'
	text string
}

// Diff returns a line diff of the indented forms of two documents. An empty
// document represents a retired one.
func Diff(fromLabel, toLabel string, from, to json.RawMessage) string {
	lines := diffLines(indented(from), indented(to))
	var b strings.Builder
	fmt.Fprintf(&b, "--- %s\n+++ %s\n", fromLabel, toLabel)
	changed, skipped := false, false
	for i, l := range lines {
		changed = changed || l.mark != ' '
		if !nearChange(lines, i) {
			skipped = true
			continue
		}
		if skipped {
			b.WriteString(" ...\n")
		}
		skipped = false
		fmt.Fprintf(&b, "%c%s\n", l.mark, l.text)
	}
	if !changed {
		return "no difference\n"
	}
	return b.String()
}

func indented(doc json.RawMessage) []string {
	if len(doc) == 0 {
		return nil
	}
	var b bytes.Buffer
	if json.Indent(&b, doc, "", "  ") != nil {
		return []string{string(doc)}
	}
	return strings.Split(b.String(), "\n")
}

func nearChange(lines []diffLine, at int) bool {
	for i := max(0, at-diffContext); i <= min(len(lines)-1, at+diffContext); i++ {
		if lines[i].mark != ' ' {
			return true
		}
	}
	return false
}

// maxDiffCells bounds the table of commonLengths; larger changes are shown as a
// removal of the old lines and an addition of the new ones.
const maxDiffCells = 4 << 20

// diffLines returns a shortest edit script from a to b, unless they exceed
// maxDiffCells.
func diffLines(a, b []string) []diffLine {
	start := commonPrefix(a, b)
	var out []diffLine
	out = appendLines(out, ' ', a[:start])
	a, b = a[start:], b[start:]
	if (len(a)+1)*(len(b)+1) > maxDiffCells {
		return appendLines(appendLines(out, '-', a), '+', b)
	}
	common := commonLengths(a, b)
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out = append(out, diffLine{' ', a[i]})
			i, j = i+1, j+1
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			out = append(out, diffLine{'-', a[i]})
			i++
		default:
			out = append(out, diffLine{'+', b[j]})
			j++
		}
	}
	return out
}

func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func appendLines(out []diffLine, mark byte, lines []string) []diffLine {
	for _, l := range lines {
		out = append(out, diffLine{mark, l})
	}
	return out
}

// commonLengths returns at [i][j] the length of the longest common
// subsequence of a[i:] and b[j:].
func commonLengths(a, b []string) [][]int {
	table := make([][]int, len(a)+1)
	for i := range table {
		table[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}
