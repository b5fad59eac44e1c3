package path

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"testing"

	"siskintray.example/siskin/internal/home"
)

// Kinds of frames between VMs.
const (
	helloFrame    = 1
	requestFrame  = 2
	responseFrame = 3
)

// oldRequest and oldReply are encoded as by versions that know only JSON.
type (
	oldRequest home.Request
	oldReply   home.Reply
)

// appendFrame encodes a frame of at most 127 calls on a connection.
func appendFrame(kind, seq byte, method string, body []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(3+len(method)+len(body)))
	b = append(b, kind, seq, byte(len(method)))
	return append(append(b, method...), body...)
}

func readFrame(t *testing.T, r io.Reader) (kind, seq byte, method string, body []byte, err error) {
	t.Helper()
	var size [4]byte
	if _, err = io.ReadFull(r, size[:]); err != nil {
		return 0, 0, "", nil, err
	}
	b := make([]byte, binary.BigEndian.Uint32(size[:]))
	if _, err = io.ReadFull(r, b); err != nil {
		return 0, 0, "", nil, err
	}
	if b[1] > 127 || b[2] > 127 {
		t.Errorf("frame: got %v, want numbers of one byte", b[:3])
	}
	end := 3 + int(b[2])
	return b[0], b[1], string(b[3:end]), b[end:], nil
}

// startOldVM starts the VM otherVM in a version that knows only JSON. It
// returns its address and the requests that it runs.
func startOldVM(t *testing.T, run func(*home.Request) home.Reply) (address string, requests chan home.Request) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = make(chan home.Request, 100)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		if kind, _, _, _, err := readFrame(t, r); err != nil || kind != helloFrame {
			t.Errorf("first frame: got kind %d, %v, want a hello", kind, err)
		}
		_, err = conn.Write(appendFrame(helloFrame, 0, "", []byte(otherVM)))
		for err == nil {
			var seq byte
			var method string
			var body []byte
			if _, seq, method, body, err = readFrame(t, r); err != nil {
				return
			}
			var req home.Request
			if err := json.Unmarshal(body, (*oldRequest)(&req)); err != nil {
				t.Errorf("%s at a VM of an older version: got %v, want JSON", method, err)
			}
			requests <- req
			reply := run(&req)
			encoded, encodeErr := json.Marshal((*oldReply)(&reply))
			if encodeErr != nil {
				t.Error(encodeErr)
			}
			_, err = conn.Write(appendFrame(responseFrame, seq, method, encoded))
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
	return l.Addr().String(), requests
}

// callAsOldVM calls Home.Run of the VM at address as a version that knows only
// JSON.
func callAsOldVM(t *testing.T, address string, req *home.Request) home.Reply {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body, err := json.Marshal((*oldRequest)(req))
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range [][]byte{appendFrame(helloFrame, 0, "", []byte("vm-00")), appendFrame(requestFrame, 1, "Home.Run", body)} {
		if _, err := conn.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	r := bufio.NewReader(conn)
	kind, _, _, id, err := readFrame(t, r)
	if err != nil || kind != helloFrame || string(id) != string(otherVM) {
		t.Fatalf("first frame: got kind %d with %q, %v, want the id of the VM", kind, id, err)
	}
	kind, _, _, body, err = readFrame(t, r)
	if err != nil || kind != responseFrame {
		t.Fatalf("response: got kind %d with %.100q, %v, want a reply", kind, body, err)
	}
	var reply home.Reply
	if err := json.Unmarshal(body, (*oldReply)(&reply)); err != nil {
		t.Fatalf("response to a VM of an older version: got %v, want JSON", err)
	}
	return reply
}
