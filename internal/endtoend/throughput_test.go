package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRequests measures the throughput of the whole request path, with requests one after another on each of several
// connections.
func BenchmarkRequests(b *testing.B) {
	const conns = 16
	for _, bodyBytes := range []int{0, 2 << 10, 60 << 10} {
		b.Run(fmt.Sprintf("body %d", bodyBytes), func(b *testing.B) {
			s := start(b, options{memoryMB: ampleMemoryMB, sockets: usualSockets, orders: readAndRespond(0, 200)})
			b.SetParallelism(conns)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				conn, err := net.Dial("tcp", s.address)
				if err != nil {
					b.Error(err)
					return
				}
				defer conn.Close()
				reader, body := bufio.NewReader(conn), strings.Repeat("b", bodyBytes)
				for pb.Next() {
					io.WriteString(conn, orderHead(newTraceID(), contentLength(bodyBytes))+body)
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						b.Error(err)
						return
					}
					io.Copy(io.Discard, response.Body)
					if response.Close {
						conn.Close()
						if conn, err = net.Dial("tcp", s.address); err != nil {
							b.Error(err)
							return
						}
						reader.Reset(conn)
					}
				}
			})
		})
	}
}
