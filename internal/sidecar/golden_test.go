package sidecar

import (
	"flag"
	"os"
	"strings"
	"testing"
)

// updateGolden makes TestGolden rewrite testdata/golden.txt:
//
//	go test ./internal/sidecar -run TestGolden -update
var updateGolden = flag.Bool("update", false, "rewrite testdata/golden.txt")

// goldenPath is the path of the golden file.
const goldenPath = "testdata/golden.txt"

// goldenCase is a scenario. The golden file has its transcript under its name.
type goldenCase struct {
	name   string
	record func(*testing.T, *goldenTranscript)
}

// TestGolden checks that the bytes that a sidecar writes to servers, discovery, clients and callers of the admin
// address are those in testdata/golden.txt. Line ends are recorded as \r\n. Header lines are recorded in the order in
// which they are written, which is fixed. Only times, addresses and the framing of long bodies are normalised.
func TestGolden(t *testing.T) {
	stored := readGolden(t)
	for _, test := range goldenCases {
		t.Run(test.name, func(t *testing.T) {
			transcript := &goldenTranscript{}
			test.record(t, transcript)
			got := transcript.text.String()
			if *updateGolden {
				stored[test.name] = got
			} else if want, ok := stored[test.name]; !ok || got != want {
				t.Errorf("the transcript differs from the golden file\n--- want:\n%s\n--- got:\n%s", want, got)
			}
		})
	}
	if *updateGolden && !t.Failed() {
		writeGolden(t, stored)
	}
	checkGoldenCaseNames(t, stored)
}

// checkGoldenCaseNames checks that the names of the cases are unique and that each case of the golden file still
// exists.
func checkGoldenCaseNames(t *testing.T, stored map[string]string) {
	known := map[string]bool{}
	for _, test := range goldenCases {
		if known[test.name] {
			t.Errorf("got more than one case named %q, want unique names", test.name)
		}
		known[test.name] = true
	}
	for name := range stored {
		if !known[name] {
			t.Errorf("case %q of the golden file is not in goldenCases", name)
		}
	}
}

// goldenHeadingPrefix is the beginning of a line with the name of a case.
const goldenHeadingPrefix = "=== "

// readGolden returns the transcripts of the golden file by the names of their cases.
func readGolden(t *testing.T) map[string]string {
	t.Helper()
	stored := map[string]string{}
	text, err := os.ReadFile(goldenPath)
	if err != nil && !(*updateGolden && os.IsNotExist(err)) {
		t.Fatal(err)
	}
	for _, part := range strings.Split("\n"+string(text), "\n"+goldenHeadingPrefix)[1:] {
		name, body, _ := strings.Cut(part, "\n")
		stored[name] = strings.TrimSuffix(body, "\n") + "\n"
	}
	return stored
}

// writeGolden writes the transcripts to the golden file, in the order of goldenCases.
func writeGolden(t *testing.T, stored map[string]string) {
	t.Helper()
	var out strings.Builder
	for _, test := range goldenCases {
		if text, ok := stored[test.name]; ok {
			out.WriteString(goldenHeadingPrefix + test.name + "\n" + text)
		}
	}
	if err := os.WriteFile(goldenPath, []byte(out.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenNormalise checks that times and addresses are normalised only in their exact format, so that TestGolden
// detects a change of the format.
func TestGoldenNormalise(t *testing.T) {
	for text, want := range map[string]string{
		"X-Expires-In: 12u\r\n":                       "X-Expires-In: (TIME)u\r\n",
		"X-Expires-In: 12m\r\n":                       "X-Expires-In: 12m\r\n",
		"x-expires-in: 12u\r\n":                       "x-expires-in: 12u\r\n",
		"Retry-After: 0.250\r\n":                      "Retry-After: (SECONDS)\r\n",
		"Retry-After: 1\r\n":                          "Retry-After: 1\r\n",
		"Date: Thu, 01 Jan 1970 00:00:00 GMT\r\nA: 1": "Date: (DATE)\r\nA: 1",
		"Host: 127.0.0.1:4711\r\n":                    "Host: (ADDRESS)\r\n",
	} {
		if got := normalise(text); got != want {
			t.Errorf("normalise(%q): got %q, want %q", text, got, want)
		}
	}
}
