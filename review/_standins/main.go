// Command standins plays one case of the review: it starts the sidecar as a process, and acts as its clients, servers
// and discovery agent on loopback addresses. Its arguments are the name of the case and the folder for record.txt. The
// exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// maxRunTime ends a case that takes too long.
const maxRunTime = 110 * time.Second

var (
	caseDir string                        // folder of the case
	trouble = os.Getenv("TROUBLE") != "0" // whether the disruption is played
	startAt = time.Now()

	recordMu   sync.Mutex
	recordFile *os.File

	exitMu    sync.Mutex
	exitFuncs []func()
)

// cases maps the name of each case to its function, which returns whether the rule held. The last three are no cases of the
// review; REPORT.md says why.
var cases = map[string]func() bool{
	"called-off":  playCalledOff,  // review/1
	"late-repeat": playLateRepeat, // review/2
	"cut-answer":  playCutAnswer,  // review/3

	"foreign-data": playForeignData,
	"late-body":    playLateBody,
	"hung-upload":  playHungUpload,
}

func main() {
	runtime.LockOSThread() // the sidecar gets a signal when the thread that started it ends
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER, from the root of the repository")
		os.Exit(notRun)
	}
	caseDir = os.Args[2]
	var err error
	recordFile, err = os.Create(filepath.Join(caseDir, "record.txt"))
	check(err)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { fatal("got signal %v", <-signals) }()
	record("case %s, TROUBLE=%v", os.Args[1], trouble)
	time.AfterFunc(maxRunTime, func() { fatal("not finished after %v", maxRunTime) })
	if cases[os.Args[1]]() {
		record("the rule held")
		exit(ruleHeld)
	}
	record("THE RULE WAS BROKEN")
	exit(ruleBroken)
}

// record writes a line with the time since the start to record.txt.
func record(format string, args ...any) {
	line := fmt.Sprintf("%9.4f  %s\n", time.Since(startAt).Seconds(), fmt.Sprintf(format, args...))
	recordMu.Lock()
	defer recordMu.Unlock()
	recordFile.WriteString(line)
}

// atExit registers a function that exit calls, the last one first.
func atExit(f func()) {
	exitMu.Lock()
	defer exitMu.Unlock()
	exitFuncs = append(exitFuncs, f)
}

// exit ends the processes that the case has started, and then this one.
func exit(status int) {
	exitMu.Lock() // never unlocked: only the first call proceeds
	for i := len(exitFuncs) - 1; i >= 0; i-- {
		exitFuncs[i]()
	}
	os.Exit(status)
}

// fatal records why the case could not run and exits.
func fatal(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Fprintln(os.Stderr, "the case could not run:", text)
	if recordFile != nil {
		record("the case could not run: %s", text)
	}
	exit(notRun)
}

// check ends the case if an error prevents it from running.
func check(err error) {
	if err != nil {
		fatal("%v", err)
	}
}
