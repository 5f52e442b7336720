package edge

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestLogLinesAreDocumented guards against log lines of the edge daemon that are missing from the operations page, and
// against lines on that page that the daemon does not log.
func TestLogLinesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "### Log lines")
	if !found {
		t.Fatal("the page has no section on log lines")
	}
	section, _, _ = strings.Cut(section, "### From a request's id")
	documented := make(map[string]bool)
	for _, row := range strings.Split(section, "\n") {
		cells := strings.Split(row, "|")
		if len(cells) < 3 {
			continue
		}
		for _, name := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cells[2], -1) {
			documented[name[1]] = false
		}
	}
	event := regexp.MustCompile(`log\.(?:Event|Routine)\("([^"]+)"`)
	for _, folder := range []string{"edge", "gateway", "placer", "watch", "loadshare", "connpool", "leasestore"} {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			content, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range event.FindAllStringSubmatch(string(content), -1) {
				if _, listed := documented[match[1]]; !listed && !strings.HasSuffix(file, "_test.go") {
					t.Errorf("%s logs %q, which the page does not list", file, match[1])
				}
				documented[match[1]] = true
			}
		}
	}
	for name, logged := range documented {
		if !logged {
			t.Errorf("the page lists %q, which is not logged", name)
		}
	}
}
