package minionhost

import (
	"bytes"
	"encoding/json"
	"time"

	"wasabihoist/internal/traffic/minion"
	"wasabihoist/internal/traffic/request"
)

// instructions may be given as a JSON body of a request.
type instructions struct {
	WorkMS      int64 `json:"work-ms"`      // WorkMS overrides the work time of the kind.
	AnswerBytes int   `json:"answer-bytes"` // AnswerBytes pads the answer to this length.
	Fail        bool  `json:"fail"`
}

// Body returns a request body that sets the work time and the least length of
// the answer.
func Body(work time.Duration, answerBytes int) []byte {
	data, _ := json.Marshal(instructions{WorkMS: work.Milliseconds(), AnswerBytes: answerBytes})
	return data
}

// Answer returns the body that the stand-in answers, so that tests can check
// for the whole answer of the right request.
func Answer(id request.Identity, body []byte) []byte {
	return answerBody(minion.RequestID(id), body)
}

func answerBody(requestID string, body []byte) []byte {
	answer := []byte(requestID + " " + minion.Checksum(body) + "\n")
	if missing := parse(body).AnswerBytes - len(answer); missing > 0 {
		pattern := bytes.Clone(answer)
		answer = append(answer, bytes.Repeat(pattern, missing/len(pattern)+1)[:missing]...)
	}
	return answer
}

func parse(body []byte) instructions {
	var i instructions
	if json.Unmarshal(body, &i) != nil {
		return instructions{}
	}
	return i
}

func (h *Host) workTime(kind string, body []byte) time.Duration {
	if i := parse(body); i.WorkMS > 0 {
		return time.Duration(i.WorkMS) * time.Millisecond
	}
	return h.options.Kinds[kind]
}
