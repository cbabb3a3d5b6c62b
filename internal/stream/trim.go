package stream

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

var errCannotTrim = errors.New("event does not have a single choice with enough text to trim")

// TrimText removes the first skip bytes of the generated text from a completion
// event in JSON. The event must have exactly one choice.
func TrimText(data []byte, skip int) ([]byte, error) {
	var event map[string]json.RawMessage
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, err
	}
	var choices []map[string]json.RawMessage
	if err := json.Unmarshal(event["choices"], &choices); err != nil {
		return nil, err
	}
	if len(choices) != 1 {
		return nil, errCannotTrim
	}
	if err := trimChoice(choices[0], skip); err != nil {
		return nil, err
	}
	var err error
	if event["choices"], err = json.Marshal(choices); err != nil {
		return nil, err
	}
	return json.Marshal(event)
}

func trimChoice(choice map[string]json.RawMessage, skip int) error {
	if _, ok := choice["text"]; ok {
		return trimField(choice, "text", skip)
	}
	var delta map[string]json.RawMessage
	if err := json.Unmarshal(choice["delta"], &delta); err != nil {
		return err
	}
	if err := trimField(delta, "content", skip); err != nil {
		return err
	}
	var err error
	choice["delta"], err = json.Marshal(delta)
	return err
}

func trimField(fields map[string]json.RawMessage, name string, skip int) error {
	var text string
	if err := json.Unmarshal(fields[name], &text); err != nil {
		return err
	}
	if skip < 0 || skip > len(text) {
		return errCannotTrim
	}
	var err error
	fields[name], err = json.Marshal(text[skip:])
	return err
}
