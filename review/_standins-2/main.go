// Command review-standins-2 plays one case of the second review: it starts the sidecar as a process, plays the clients, the servers
// and the platform around it, and writes what it saw to a file. The exit status is 1 if the rule of the case was broken, 0 if it
// held, and 2 if the case could not run. Start it from the root of the repository.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxDuration limits the time that a case takes.
const maxDuration = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// setup is what a case gets: the folder for its files, its record, and whether the disruption is played.
type setup struct {
	dir     string
	rec     *recorder
	trouble bool
}

var cases = map[string]func(*setup) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	defer os.RemoveAll(dir)
	rec, err := newRecorder(recordPath)
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	// The sidecar ends with this process, because of Pdeathsig.
	time.AfterFunc(maxDuration, func() {
		fmt.Println("could not run: not finished after", maxDuration)
		os.Exit(2)
	})
	result, err := cases[name](&setup{dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"})
	if err != nil {
		rec.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	rec.logf("%s", result.summary)
	fmt.Println(result.summary)
	if result.broken {
		return 1
	}
	return 0
}
