package checker

import (
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// number returns a field for a whole number from minValue to maxValue. Its write
// function omits defaultValue.
func number[T any](key string, minValue, maxValue, defaultValue int, pointer func(*T) *int) field[T] {
	return field[T]{
		key: key,
		read: func(object *T, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return trace.BadParameter("is %q, want a whole number", text)
			}
			if n < minValue || n > maxValue {
				return trace.BadParameter("is %d, want %d to %d", n, minValue, maxValue)
			}
			*pointer(object) = n
			return nil
		},
		write: func(object *T) string {
			if *pointer(object) == defaultValue {
				return ""
			}
			return strconv.Itoa(*pointer(object))
		},
	}
}

// duration returns a field for a duration from minValue to maxValue. Its write
// function omits 0.
func duration[T any](key string, minValue, maxValue time.Duration, pointer func(*T) *time.Duration) field[T] {
	return field[T]{
		key: key,
		read: func(object *T, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return trace.BadParameter("is %q, want a time with its unit, such as 250ms", text)
			}
			if d < minValue || d > maxValue {
				return trace.BadParameter("is %v, want %v to %v", d, minValue, maxValue)
			}
			*pointer(object) = d
			return nil
		},
		write: func(object *T) string {
			if *pointer(object) == 0 {
				return ""
			}
			return pointer(object).String()
		},
	}
}

// text returns a field for a string type; check may be nil.
func text[T any, S ~string](key string, check func(string) error, pointer func(*T) *S) field[T] {
	return field[T]{
		key: key,
		read: func(object *T, text string) error {
			*pointer(object) = S(text)
			if check == nil {
				return nil
			}
			return check(text)
		},
		write: func(object *T) string {
			return string(*pointer(object))
		},
	}
}

// boolean returns a field for true or false. Its write function omits false.
func boolean[T any](key string, pointer func(*T) *bool) field[T] {
	return field[T]{
		key: key,
		read: func(object *T, text string) error {
			if text != "true" && text != "false" {
				return trace.BadParameter("is %q, want true or false", text)
			}
			*pointer(object) = text == "true"
			return nil
		},
		write: func(object *T) string {
			if !*pointer(object) {
				return ""
			}
			return "true"
		},
	}
}

// required returns a copy of the field that is marked as required.
func required[T any](f field[T]) field[T] {
	f.required = true
	return f
}
