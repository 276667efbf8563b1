// Package stricttoml decodes TOML strictly: unknown keys are errors, and each
// problem is reported with its line.
package stricttoml

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one error in a TOML text.
type Problem struct {
	// Line counts from 1; 0 if the problem does not belong to one line.
	Line int
	// Key is the dotted path of the invalid key.
	Key string
	// Text describes the problem.
	Text string
}

// Decode decodes the content into a pointer to a struct. It returns all unknown
// keys, or else the first syntax or type error.
func Decode(content []byte, into any) []Problem {
	d := toml.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		problems := make([]Problem, 0, len(strict.Errors))
		for i := range strict.Errors {
			problems = append(problems, newProblem(&strict.Errors[i], "unknown key"))
		}
		return problems
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return []Problem{newProblem(decode, decode.Error())}
	}
	return []Problem{{Text: err.Error()}}
}

func newProblem(e *toml.DecodeError, text string) Problem {
	line, _ := e.Position()
	return Problem{Line: line, Key: strings.Join(e.Key(), "."), Text: text}
}
