package cfgini

import "strings"

// Nearest returns the name that is closest to s by edit distance, ignoring
// case, or "" when none is close.
func Nearest(s string, names []string) string {
	best, bestDistance := "", len(s)/2+2
	if len(s) > 64 { // distance costs len(s) times the name's length
		return ""
	}
	for _, name := range names {
		if d := distance(strings.ToLower(s), strings.ToLower(name)); d < bestDistance {
			best, bestDistance = name, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of a and b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
