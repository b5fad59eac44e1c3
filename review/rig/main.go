// Command rig plays the cases of the review: it starts siskintrayd processes
// on loopback addresses beside stand-ins of the platform, the targets and the
// clients, and checks one rule from what these see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errBroken is the result of a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// maxDuration bounds one run, so that no process is left behind.
const maxDuration = 110 * time.Second

// scenario is one case.
type scenario func(r *rig) error

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "", "path of siskintrayd")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	path, err := filepath.Abs(*program)
	if err == nil {
		_, err = os.Stat(path)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "siskintrayd is not built:", err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &rig{program: path, dir: dir, rec: newRecorder(), trouble: os.Getenv("TROUBLE") != "0"}
	guard := time.AfterFunc(maxDuration, func() {
		r.closeVMs()
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(exitNotRun)
	})
	err = play(r)
	guard.Stop()
	r.close()
	if werr := r.rec.write(*record); werr != nil {
		fmt.Fprintln(os.Stderr, werr)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir) // a temporary folder
	} else {
		fmt.Println("logs:", dir)
	}
	switch {
	case err == nil:
		fmt.Println("held")
		return exitHeld
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return exitBroken
	default:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
}
