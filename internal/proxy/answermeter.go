package proxy

import "strings"

// answerMeter measures the head of an answer of HTTP/1, which informational answers
// may precede, and checks it while it is read, before it is parsed: net/http accepts
// some malformed heads, and takes from them another length or other headers than the
// server may have meant.
type answerMeter struct {
	headMeter
	interim      bool // the head is that of an informational answer
	malformed    bool // the head must not be used
	otherVersion bool // the status line does not begin with codingVersion
	inName       bool // the name of a field has begun
	nameBytes    int  // of the name so far
	namesCoding  bool // the name so far is the beginning of codingField
}

const (
	// statusAt is the position in a status line of the first digit of the status,
	// which is 1 for an informational answer.
	statusAt = len("HTTP/1.1 ")
	// codingField, in lower case, may be sent only in answers of codingVersion.
	codingField   = "transfer-encoding"
	codingVersion = "HTTP/1.1"
)

// reset prepares for the next answer and returns the charge for the last one.
func (m *answerMeter) reset() {
	m.headMeter.reset(false)
	*m = answerMeter{headMeter: m.headMeter}
}

// scan takes bytes of the stream up to the end of the head. The heads of
// informational answers are dropped as they come.
func (m *answerMeter) scan(b []byte) {
	for _, c := range b {
		if m.complete && m.interim {
			m.beginNext()
		}
		if m.complete {
			return
		}
		m.checkStatusLine(c)
		m.checkField(c)
		m.step(c)
	}
}

// beginNext prepares for the head that follows that of an informational answer.
func (m *answerMeter) beginNext() {
	m.complete, m.interim, m.otherVersion = false, false, false
	m.bytes, m.lines, m.state = 0, 0, inLine
}

// checkStatusLine notes the version and the kind of the answer. net/http skips blanks
// before the status, which would hide that the answer is an informational one.
func (m *answerMeter) checkStatusLine(c byte) {
	switch {
	case m.bytes < len(codingVersion):
		m.otherVersion = m.otherVersion || c != codingVersion[m.bytes]
	case m.bytes == statusAt:
		m.interim = c == '1'
		m.malformed = m.malformed || c == ' '
	}
}

// checkField checks that a line begins with the name of a field and a colon (RFC 9112,
// 5). net/http accepts names with blanks, so that it passes over a length or a coding,
// and lines that begin with a blank, as part of the line before.
func (m *answerMeter) checkField(c byte) {
	begins := m.state == atLineStart && c != '\r' && c != '\n'
	if begins {
		m.inName, m.nameBytes, m.namesCoding = true, 0, true
	}
	switch {
	case m.state == afterReturn:
		m.malformed = m.malformed || c != '\n'
	case m.inName && c == ':' && !begins:
		m.endName()
	case m.inName:
		m.addToName(c)
	}
}

func (m *answerMeter) addToName(c byte) {
	const lowerCase = 'a' - 'A'
	m.malformed = m.malformed || !isTokenByte(c)
	m.namesCoding = m.namesCoding && m.nameBytes < len(codingField) && c|lowerCase == codingField[m.nameBytes]
	m.nameBytes++
}

// endName ends the name of a field at its colon. The framing of an answer of an earlier
// version with a coding is faulty (RFC 9112, 6.1); net/http takes the coded bytes for
// the body.
func (m *answerMeter) endName() {
	m.inName = false
	if m.otherVersion && m.namesCoding && m.nameBytes == len(codingField) {
		m.malformed = true
	}
}

// isTokenByte reports whether a byte may be part of the name of a field (RFC 9110,
// 5.6.2).
func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
