package resp

import "github.com/tidwall/redcon"

// skipMessage consumes the next message without keeping it, so it needs no memory beyond the initial buffer. The error is
// ErrMalformed or the unchanged error of the stream; the message then counts as partly read until Release.
func (r *Reader) skipMessage() error {
	r.skipping = true
	left := MaxMessageBytes
	if err := r.skipElement(maxArrayDepth, &left); err != nil {
		return err
	}
	r.skipping = false
	return nil
}

// skipElement consumes one element, which may be an array nested up to maxDepth. It subtracts its length from left, the
// number of bytes that the message may still have.
func (r *Reader) skipElement(maxDepth int, left *int) error {
	kind, sizeText, err := r.skipFirstLine(left)
	if err != nil {
		return err
	}
	switch kind {
	case redcon.Bulk:
		size, err := bulkSize(sizeText)
		if err != nil || size < 0 {
			return err
		}
		return r.skipBulk(size, left)
	case redcon.Array:
		count, err := arrayCount(sizeText, maxDepth)
		for i := 0; i < count && err == nil; i++ {
			err = r.skipElement(maxDepth-1, left)
		}
		return err
	}
	return nil
}

// skipFirstLine consumes the first line of an element. It returns the element's type and the rest of the line.
func (r *Reader) skipFirstLine(left *int) (kind redcon.Type, text string, err error) {
	for {
		length, err := firstLineLength(r.Buffered())
		if err != nil {
			return 0, "", err
		}
		if length > 0 {
			line := r.Buffered()[:length]
			kind, text = redcon.Type(line[0]), string(line[1:length-len("\r\n")])
			return kind, text, r.skipBytes(length, left)
		}
		if err := r.Fill(); err != nil {
			return 0, "", err
		}
	}
}

// skipBulk consumes the content of a bulk string and the CRLF behind it.
func (r *Reader) skipBulk(size int, left *int) error {
	if err := r.skipBytes(size, left); err != nil {
		return err
	}
	for len(r.Buffered()) < len("\r\n") {
		if err := r.Fill(); err != nil {
			return err
		}
	}
	if end := r.Buffered(); end[0] != '\r' || end[1] != '\n' {
		return ErrMalformed
	}
	return r.skipBytes(len("\r\n"), left)
}

// skipBytes consumes n bytes, and reads those that are not buffered yet.
func (r *Reader) skipBytes(n int, left *int) error {
	if *left -= n; *left < 0 {
		return ErrMalformed
	}
	for {
		skipped := min(n, len(r.Buffered()))
		r.consumed += skipped
		if n -= skipped; n == 0 {
			return nil
		}
		if err := r.Fill(); err != nil {
			return err
		}
	}
}
