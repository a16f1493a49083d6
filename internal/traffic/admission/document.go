package admission

import "fmt"

// Document bounds the values of a JSON document by their depth, because a decoder may
// need a hundred bytes for each of them. Element 0 bounds the values of the outermost
// object or array, element 1 those of all objects and arrays directly in it, and so
// on. Objects and arrays further inside are refused.
type Document []int

// Check returns an error if the document exceeds a bound. It allocates nothing, so it
// can come before the document is decoded. It does not check the syntax.
func (d Document) Check(data []byte) error {
	counts := make([]int, len(d))
	depth, quoted, escaped := 0, false, false
	for _, b := range data {
		switch {
		case escaped:
			escaped = false
		case quoted:
			escaped, quoted = b == '\\', b != '"'
		case b == '"':
			quoted = true
		case b == '{' || b == '[':
			if depth == len(d) {
				return fmt.Errorf("more than %d levels of objects and arrays", len(d))
			}
			counts[depth]++
			depth++
		case b == '}' || b == ']':
			depth = max(0, depth-1)
		case b == ',' && depth > 0:
			counts[depth-1]++
		}
		if depth > 0 && counts[depth-1] > d[depth-1] {
			return fmt.Errorf("more than %d values at depth %d", d[depth-1], depth)
		}
	}
	return nil
}
