package enginepool

import "iter"

// ordered is a map that is iterated in an order that depends only on the calls before: sums of floating
// point numbers and choices among equals are the same in each run. The zero value is an empty map.
type ordered[V any] struct {
	index  map[string]int
	keys   []string
	values []V
}

// get returns the value of a key, the zero value if there is none.
func (o *ordered[V]) get(key string) V {
	if i, ok := o.index[key]; ok {
		return o.values[i]
	}
	var none V
	return none
}

// set sets the value of a key.
func (o *ordered[V]) set(key string, value V) {
	if i, ok := o.index[key]; ok {
		o.values[i] = value
		return
	}
	if o.index == nil {
		o.index = map[string]int{}
	}
	o.index[key] = len(o.keys)
	o.keys, o.values = append(o.keys, key), append(o.values, value)
}

// remove removes a key. The last key takes its place in the order.
func (o *ordered[V]) remove(key string) {
	i, ok := o.index[key]
	if !ok {
		return
	}
	last := len(o.keys) - 1
	o.keys[i], o.values[i] = o.keys[last], o.values[last]
	o.index[o.keys[i]] = i
	delete(o.index, key)
	var none V
	o.keys[last], o.values[last] = "", none
	o.keys, o.values = o.keys[:last], o.values[:last]
}

// len returns the number of keys.
func (o *ordered[V]) len() int { return len(o.keys) }

// all returns the keys and values from the last to the first. The current key may be removed meanwhile.
func (o *ordered[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for i := len(o.keys) - 1; i >= 0; i-- {
			if !yield(o.keys[i], o.values[i]) {
				return
			}
		}
	}
}
