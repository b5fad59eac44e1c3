package siskin

import "testing"

// FuzzParseLSN guards against a parsed position that changes when it is
// formatted and parsed again, and against errors of another kind than BadInput.
func FuzzParseLSN(f *testing.F) {
	for _, seed := range []string{"0/0", "0/16B3748", "FFFFFFFF/FFFFFFFF", "1", "/", "g/1", "0/100000000"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		l, err := ParseLSN(s)
		if err != nil {
			if got, want := KindOf(err), BadInput; got != want {
				t.Fatalf("ParseLSN(%q): got kind %v, want %v", s, got, want)
			}
			return
		}
		again, err := ParseLSN(l.String())
		if err != nil || again != l {
			t.Fatalf("ParseLSN(%q): got %v, %v after formatting, want %v", s, again, err, l)
		}
	})
}
