package cli

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cuminwing/cuminwing/internal/cli/daemonflags"
)

var (
	codeBlock     = regexp.MustCompile("(?ms)^```[a-z]*\n(.*?)^```")
	commandLine   = regexp.MustCompile(`^(?:\$ )?(?:[A-Z_]+=\S+ )*(?:go run )?(?:\S*/)?(cuminwingd?)(?: (.*))?$`)
	shellWord     = regexp.MustCompile(`"[^"]*"|'[^']*'|\S+`)
	shellOperator = regexp.MustCompile(`^(\||[0-9]?>+|<|&|&&|;|#).*`)
)

// Guards against documentation that uses commands or flags that the programs do
// not have.
func TestDocumentedCommandLinesParse(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]int)
	for _, page := range append(pages, "../../README.md", "../../CONTRIBUTING.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, block := range codeBlock.FindAllStringSubmatch(string(text), -1) {
			for _, line := range strings.Split(strings.ReplaceAll(block[1], "\\\n", " "), "\n") {
				m := commandLine.FindStringSubmatch(strings.TrimSpace(line))
				if m == nil {
					continue
				}
				found[m[1]]++
				if err := parseLine(m[1], splitWords(m[2])); err != nil {
					t.Errorf("%s: %s: %v", page, line, err)
				}
			}
		}
	}
	if found["cuminwing"] == 0 || found["cuminwingd"] == 0 {
		t.Errorf("command lines found in the documentation: %v, want at least one of each program", found)
	}
}

// splitWords splits a command line into words and stops at the first shell
// operator or comment.
func splitWords(line string) []string {
	var out []string
	for _, w := range shellWord.FindAllString(line, -1) {
		if shellOperator.MatchString(w) {
			break
		}
		out = append(out, strings.Trim(w, `"'`))
	}
	return out
}

func parseLine(program string, args []string) error {
	if program == "cuminwingd" {
		app, _ := daemonflags.New()
		_, err := app.Parse(args)
		return err
	}
	_, _, err := parse(newRegistry(io.Discard, io.Discard).app, args)
	return err
}
