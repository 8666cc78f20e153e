package admission

// heapElement is a heap element that stores its own index, so that it can be moved or removed in O(log n).
type heapElement[E any] interface {
	comparable
	// before reports whether the element sorts before the other.
	before(E) bool
	// setHeapIndex stores the element's index; it is notInHeap after removal.
	setHeapIndex(int)
	// heapIndex returns the stored index.
	heapIndex() int
}

// notInHeap is the index of an element that is not in a heap.
const notInHeap = -1

// heap is a binary heap with the first element at the top. Unlike container/heap, it is generic and keeps indexes.
type heap[E heapElement[E]] struct{ elements []E }

func (h *heap[E]) empty() bool { return len(h.elements) == 0 }

func (h *heap[E]) top() E { return h.elements[0] }

func (h *heap[E]) push(e E) {
	h.elements = append(h.elements, e)
	h.up(len(h.elements)-1, e)
}

func (h *heap[E]) remove(e E) {
	i := e.heapIndex()
	last := len(h.elements) - 1
	moved := h.elements[last]
	var none E
	h.elements[last] = none
	h.elements = h.elements[:last]
	e.setHeapIndex(notInHeap)
	if i == last {
		return
	}
	moved.setHeapIndex(i)
	h.elements[i] = moved
	h.fix(moved)
}

// fix restores the heap order after the element's key changed.
func (h *heap[E]) fix(e E) {
	i := e.heapIndex()
	h.up(i, e)
	if e.heapIndex() == i {
		h.down(i, e)
	}
}

func (h *heap[E]) up(i int, e E) {
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(h.elements[parent]) {
			break
		}
		h.put(i, h.elements[parent])
		i = parent
	}
	h.put(i, e)
}

func (h *heap[E]) down(i int, e E) {
	for {
		child := 2*i + 1
		if child >= len(h.elements) {
			break
		}
		if child+1 < len(h.elements) && h.elements[child+1].before(h.elements[child]) {
			child++
		}
		if !h.elements[child].before(e) {
			break
		}
		h.put(i, h.elements[child])
		i = child
	}
	h.put(i, e)
}

func (h *heap[E]) put(i int, e E) {
	h.elements[i] = e
	e.setHeapIndex(i)
}
