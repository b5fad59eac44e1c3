package fairq

// ticketList holds waiting tickets in order of arrival.
type ticketList struct {
	head, tail *ticket
	n          int
}

func (l *ticketList) push(t *ticket) {
	t.prev, t.next = l.tail, nil
	if l.tail == nil {
		l.head = t
	} else {
		l.tail.next = t
	}
	l.tail = t
	l.n++
}

func (l *ticketList) remove(t *ticket) {
	if t.prev == nil {
		l.head = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		l.tail = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next = nil, nil
	l.n--
}
