package metrics

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// TestTrimClassesBoundsClasses checks that TrimClasses removes the oldest classes that are not in use, and no more of
// them than exceed the limit.
func TestTrimClassesBoundsClasses(t *testing.T) {
	m := &Metrics{}
	first := m.Class("in use")
	for i := range 3 * maxClasses {
		m.TrimClasses([]*ClassCounters{first, m.Class(fmt.Sprint(i))})
	}
	if len(m.classes) != maxClasses || m.classes[0] != first || m.classes[1].name != fmt.Sprint(2*maxClasses+1) {
		t.Errorf("got %d classes, first %q, second %q, want %d, %q, %q",
			len(m.classes), m.classes[0].name, m.classes[1].name, maxClasses, first.name, fmt.Sprint(2*maxClasses+1))
	}
}

// TestWriteTextEscapesClassNames checks that a class name with special characters is escaped in the text format.
func TestWriteTextEscapesClassNames(t *testing.T) {
	m := &Metrics{}
	m.Class("a\"b\\c\nd").CountStatus(429)
	var text bytes.Buffer
	m.WriteText(&text)
	if want := `lane="a\"b\\c\nd",result="rejected"} 1` + "\n"; !strings.Contains(text.String(), want) {
		t.Errorf("got %s, want a line that ends with %s", text.String(), want)
	}
}

// TestWriteTextCountsResponsesWithoutLength checks that each result of a response without a length has its own sample.
func TestWriteTextCountsResponsesWithoutLength(t *testing.T) {
	m := &Metrics{}
	for result := range unknownLengthResults {
		for range result + 1 {
			m.UnknownLength.Count(result)
		}
	}
	m.UnknownLength.EndedUndecided.Add(7)
	var text bytes.Buffer
	m.WriteText(&text)
	for _, want := range []string{
		`responses_without_length_total{result="complete"} 1`, `responses_without_length_total{result="long"} 2`,
		`responses_without_length_total{result="expected_long"} 3`,
		`responses_without_length_total{result="forwarded_undecided"} 4`,
		`responses_without_length_total{result="failed_undecided"} 5`, `responses_ended_undecided_total 7`,
	} {
		if !strings.Contains(text.String(), namePrefix+want+"\n") {
			t.Errorf("got %s, want a line %s", text.String(), want)
		}
	}
}
