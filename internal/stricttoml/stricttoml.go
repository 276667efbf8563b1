// Package stricttoml decodes TOML in which unknown keys are errors, and reports
// all decoding problems with their lines.
package stricttoml

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one error in a TOML text.
type Problem struct {
	// Line is counted from 1; 0 if the problem has no single place.
	Line int
	// Key is the dotted path of the offending key.
	Key string
	// Text says what is wrong.
	Text string
}

// Decode decodes the content into a pointer to a struct.
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
