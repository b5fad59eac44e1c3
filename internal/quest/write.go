package quest

import (
	"fmt"
	"strings"
)

// INI returns the answers as an answers file. Each answer stands below the
// number and text of its question.
func (f *Form) INI() []byte { return f.ini(false) }

// Shown returns the answers like INI, without those that are secret.
func (f *Form) Shown() []byte { return f.ini(true) }

func (f *Form) ini(hide bool) []byte {
	var b strings.Builder
	b.WriteString("# Answers to the questionnaire of siskintray. Read it with: siskintray ask --answers FILE\n")
	for g := range groups {
		for rep := range f.answers[g] {
			fmt.Fprintf(&b, "\n# %s\n[%s]\n", groups[g].Title, groups[g].section(rep))
			for q := range groups[g].Questions {
				p := place{g, rep, q}
				if !f.applies(p) {
					continue
				}
				question := &groups[g].Questions[q]
				if rep == 0 {
					fmt.Fprintf(&b, "# %d.%d %s\n", g+1, q+1, question.Text)
				}
				answer := f.get(p)
				if hide && question.Secret && answer != "" {
					answer = "(hidden)"
				}
				fmt.Fprintf(&b, "%s = %s\n", question.Key, answer)
			}
		}
	}
	return []byte(b.String())
}
