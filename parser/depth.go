package parser

import "bytes"

// tooDeep reports whether objects and lists are nested more than maxDepth levels deep, and in which line. It runs
// before the JSON parser, which recurses once per level and would need a large stack for a text that consists of
// brackets only.
func tooDeep(text []byte) (line int, deep bool) {
	line = 1
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\n':
			line++
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case '"':
			i = endOfString(text, i)
		case '/':
			end := endOfComment(text, i)
			line += countNewlines(text[i:end])
			i = end - 1
		}
		if depth > maxDepth {
			return line, true
		}
	}
	return 0, false
}

// endOfString returns the index of the closing quote, or of the end of the line or text if there is none.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"', '\n':
			return i
		}
	}
	return len(text)
}

// endOfComment returns the index after a comment, or after the slash when no comment begins there.
func endOfComment(text []byte, start int) int {
	if start+1 >= len(text) {
		return start + 1
	}
	switch text[start+1] {
	case '/':
		return indexFrom(text, start+2, "\n")
	case '*':
		return min(indexFrom(text, start+2, "*/")+len("*/"), len(text))
	}
	return start + 1
}

// indexFrom returns the index of the first occurrence of end at or after start, or the length of the text if there is
// none.
func indexFrom(text []byte, start int, end string) int {
	index := bytes.Index(text[start:], []byte(end))
	if index < 0 {
		return len(text)
	}
	return start + index
}

func countNewlines(text []byte) int {
	return bytes.Count(text, []byte{'\n'})
}
