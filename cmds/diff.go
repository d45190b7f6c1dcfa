package cmds

import "strings"

func splitLines(text []byte) []string {
	return strings.Split(strings.TrimRight(string(text), "\n"), "\n")
}

// diffLines returns the differing lines with - or + before them, by the longest
// common subsequence of the two texts.
func diffLines(before, after []string) []string {
	lengths := commonLengths(before, after)
	var out []string
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			i++
			j++
		case j == len(after) || i < len(before) && lengths[i+1][j] >= lengths[i][j+1]:
			out = append(out, "- "+before[i])
			i++
		default:
			out = append(out, "+ "+after[j])
			j++
		}
	}
	return out
}

// commonLengths[i][j] is the length of the longest common subsequence of
// before[i:] and after[j:].
func commonLengths(before, after []string) [][]int {
	lengths := make([][]int, len(before)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			if before[i] == after[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
				continue
			}
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
		}
	}
	return lengths
}
