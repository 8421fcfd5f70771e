package checker

import (
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// number reads and writes a whole number within bounds; fallback is the
// value that is not written.
func number[T any](key string, least, most, fallback int, at func(*T) *int) field[T] {
	return field[T]{
		key: key,
		read: func(object *T, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return trace.BadParameter("is %q, want a whole number", text)
			}
			if n < least || n > most {
				return trace.BadParameter("is %d, want %d to %d", n, least, most)
			}
			*at(object) = n
			return nil
		},
		write: func(object *T) string {
			if *at(object) == fallback {
				return ""
			}
			return strconv.Itoa(*at(object))
		},
	}
}

// duration reads and writes a time with its unit, within bounds.
func duration[T any](key string, least, most time.Duration, at func(*T) *time.Duration) field[T] {
	return field[T]{
		key: key,
		read: func(object *T, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return trace.BadParameter("is %q, want a time with its unit, such as 250ms", text)
			}
			if d < least || d > most {
				return trace.BadParameter("is %v, want %v to %v", d, least, most)
			}
			*at(object) = d
			return nil
		},
		write: func(object *T) string {
			if *at(object) == 0 {
				return ""
			}
			return at(object).String()
		},
	}
}

// text reads and writes a string type; check may be nil.
func text[T any, S ~string](key string, check func(string) error, at func(*T) *S) field[T] {
	return field[T]{
		key: key,
		read: func(object *T, text string) error {
			*at(object) = S(text)
			if check == nil {
				return nil
			}
			return check(text)
		},
		write: func(object *T) string {
			return string(*at(object))
		},
	}
}

// boolean reads and writes true and false; false is not written.
func boolean[T any](key string, at func(*T) *bool) field[T] {
	return field[T]{
		key: key,
		read: func(object *T, text string) error {
			if text != "true" && text != "false" {
				return trace.BadParameter("is %q, want true or false", text)
			}
			*at(object) = text == "true"
			return nil
		},
		write: func(object *T) string {
			if !*at(object) {
				return ""
			}
			return "true"
		},
	}
}

// required marks a field that every object must set.
func required[T any](f field[T]) field[T] {
	f.required = true
	return f
}
