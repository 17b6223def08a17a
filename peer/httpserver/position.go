package httpserver

// position is how far the reading of a connection's request has come. It tells whether the server may
// have read a part of the next request along with it.
type position struct {
	// lost is set once that may be so, and stays set: where a head begins is no longer known.
	lost bool
	// begun is set by a head's first byte that isn't a line end, ended by its blank line.
	begun, ended bool
	lineBytes    int
	// head and total are the bytes read of the head, and altogether. body is the announced length of
	// the body, negative if unknown.
	head, total, body int64
}

// advance notes what was read and returns how many of its bytes may belong to the head.
func (p *position) advance(read []byte) int {
	p.total += int64(len(read))
	if p.lost {
		return len(read)
	}
	if p.ended {
		return 0
	}
	for i, b := range read {
		switch {
		case b == '\r':
		case b != '\n':
			p.begun = true
			p.lineBytes++
		case p.begun && p.lineBytes == 0:
			p.ended = true
			p.head += int64(i + 1)
			return i + 1
		default:
			p.lineBytes = 0
		}
	}
	p.head += int64(len(read))
	return len(read)
}

// endRequest begins the next request. It reports whether nothing of that has been read.
func (p *position) endRequest() bool {
	clean := !p.lost && p.ended && p.body >= 0 && p.total == p.head+p.body
	*p = position{lost: !clean}
	return clean
}
