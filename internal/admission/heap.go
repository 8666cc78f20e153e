package admission

// ordered is an element of a heap that knows its place, so that it can be moved or removed in O(log n).
type ordered[E any] interface {
	comparable
	// before reports whether the element must leave the heap before the other.
	before(E) bool
	// setPlace stores the element's index in the heap; notPlaced after removal.
	setPlace(int)
	// place returns the stored index.
	place() int
}

// notPlaced is the place of an element outside its heap.
const notPlaced = -1

// heapOf is a binary heap whose first element leaves first.
type heapOf[E ordered[E]] struct{ list []E }

func (h *heapOf[E]) empty() bool { return len(h.list) == 0 }

func (h *heapOf[E]) top() E { return h.list[0] }

func (h *heapOf[E]) push(e E) {
	h.list = append(h.list, e)
	h.up(len(h.list)-1, e)
}

func (h *heapOf[E]) remove(e E) {
	i := e.place()
	last := len(h.list) - 1
	moved := h.list[last]
	var none E
	h.list[last] = none
	h.list = h.list[:last]
	e.setPlace(notPlaced)
	if i == last {
		return
	}
	moved.setPlace(i)
	h.list[i] = moved
	h.fix(moved)
}

// fix restores the order after the element's key changed.
func (h *heapOf[E]) fix(e E) {
	i := e.place()
	h.up(i, e)
	if e.place() == i {
		h.down(i, e)
	}
}

func (h *heapOf[E]) up(i int, e E) {
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(h.list[parent]) {
			break
		}
		h.put(i, h.list[parent])
		i = parent
	}
	h.put(i, e)
}

func (h *heapOf[E]) down(i int, e E) {
	for {
		child := 2*i + 1
		if child >= len(h.list) {
			break
		}
		if child+1 < len(h.list) && h.list[child+1].before(h.list[child]) {
			child++
		}
		if !h.list[child].before(e) {
			break
		}
		h.put(i, h.list[child])
		i = child
	}
	h.put(i, e)
}

func (h *heapOf[E]) put(i int, e E) {
	h.list[i] = e
	e.setPlace(i)
}
