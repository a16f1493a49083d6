package admission

// headerScan measures a header while it arrives, before it is parsed.
type headerScan struct {
	bytes, lines int64
	blank        bool // blank is set while the line that arrives is empty.
	ended        bool // ended is set after the empty line that ends a header.
}

// add measures the next bytes. What follows the end of the header isn't counted.
func (s *headerScan) add(data []byte) {
	for _, b := range data {
		if s.ended {
			return
		}
		s.bytes++
		switch b {
		case '\n':
			s.lines++
			s.ended, s.blank = s.blank, true
		case '\r':
		default:
			s.blank = false
		}
	}
}

// exceeds reports whether the header is larger than allowed. Beside the fields there
// are the request line and the empty line.
func (s *headerScan) exceeds(l Limits) bool {
	return s.bytes > l.MaxHeaderBytes || s.lines > MaxHeaderFields+2
}
