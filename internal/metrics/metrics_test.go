package metrics

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// TestTrimClassesBoundsClasses checks that the oldest classes which are not in use are dropped, and only so many as are
// above the limit.
func TestTrimClassesBoundsClasses(t *testing.T) {
	m := &Metrics{}
	first := m.Class("in use")
	for i := range 3 * maxClasses {
		m.TrimClasses([]*ClassCounters{first, m.Class(fmt.Sprint(i))})
	}
	if len(m.classes) != maxClasses || m.classes[0] != first || m.classes[1].name != fmt.Sprint(2*maxClasses+1) {
		t.Errorf("%d classes, the second is %q", len(m.classes), m.classes[1].name)
	}
}

// TestWriteTextEscapesClassNames checks that a class of any name gives valid text.
func TestWriteTextEscapesClassNames(t *testing.T) {
	m := &Metrics{}
	m.Class("a\"b\\c\nd").CountStatus(429)
	var text bytes.Buffer
	m.WriteText(&text)
	if want := `lane="a\"b\\c\nd",result="rejected"} 1` + "\n"; !strings.Contains(text.String(), want) {
		t.Errorf("got %s, want a line that ends with %s", text.String(), want)
	}
}
