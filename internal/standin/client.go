package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Effect says what a repeat of a request of a class does.
type Effect int

// The effects of classes.
const (
	Safe   Effect = iota // a GET
	Keyed                // a POST with an idempotency key
	Unsafe               // a POST without one
)

// Request is what a client sends.
type Request struct {
	TraceID    string
	Class      string
	Effect     Effect
	Tenant     string
	Deadline   time.Duration // how long the client waits, and states so
	LeaveAfter time.Duration // the client closes its connection after this time; 0: it stays to its deadline
	Pieces     int           // the request is written in so many parts; 0 and 1: at once
	Pause      time.Duration // between two parts
	Body       int           // bytes of the body of a POST
}

// ExchangeEnd is how a request ended as its client saw it.
type ExchangeEnd int

// The ends of exchanges.
const (
	ExchangeServed   ExchangeEnd = iota // a complete response with status 200
	ExchangeRejected                    // 429 or 503
	ExchangeFailed                      // any other complete response
	ExchangeCut                         // a part of a response, and then the end of the connection
	ExchangeClosed                      // the end of the connection, and no byte of a response
	ExchangeSilent                      // nothing until long after the deadline
	ExchangeLeft                        // the client left first
	ExchangeNotSent                     // the request was not written completely
)

// String returns the name of an end for reports.
func (e ExchangeEnd) String() string {
	return [...]string{"served", "rejected", "failed", "cut", "closed", "silent", "left", "not sent"}[e]
}

// Exchange is a request that a client sent, and how it ended.
type Exchange struct {
	Request
	Sidecar    string
	LocalAddr  string
	BeganAt    time.Time // when its first byte was written
	SentAt     time.Time // when its last byte was written
	EndedAt    time.Time
	End        ExchangeEnd
	Status     int
	WrongBody  bool // the body is not the one of this request
	ReusedConn bool
	Err        error
}

// answerSlack is how long after its deadline a client still looks for a response before it records that none came.
const answerSlack = 700 * time.Millisecond

// Client is an application that uses one sidecar over kept connections.
type Client struct {
	sidecar string
	address string

	mu        sync.Mutex
	idle      []*clientConn
	exchanges []*Exchange
}

// clientConn is a connection with the reader of its responses.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// NewClient returns a client of a sidecar at an address.
func NewClient(sidecar, address string) *Client { return &Client{sidecar: sidecar, address: address} }

// Exchanges returns the requests that have ended.
func (c *Client) Exchanges() []Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make([]Exchange, 0, len(c.exchanges))
	for _, exchange := range c.exchanges {
		copied = append(copied, *exchange)
	}
	return copied
}

// Close closes the kept connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// Do sends a request and returns how it ended. A kept connection that ends before any byte of a response may have been
// closed while the request crossed: the request is sent once more then, on a new connection, as the same exchange of
// two records.
func (c *Client) Do(request Request) Exchange {
	exchange := c.attempt(&request, false)
	if exchange.ReusedConn && (exchange.End == ExchangeClosed || exchange.End == ExchangeNotSent) {
		exchange = c.attempt(&request, true)
	}
	return exchange
}

func (c *Client) attempt(request *Request, fresh bool) Exchange {
	exchange := &Exchange{Request: *request, Sidecar: c.sidecar, BeganAt: time.Now()}
	c.exchangeOnce(exchange, fresh)
	exchange.EndedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges = append(c.exchanges, exchange)
	return *exchange
}

// exchangeOnce sends the request of an exchange on one connection and records its end.
func (c *Client) exchangeOnce(exchange *Exchange, fresh bool) {
	conn, err := c.connect(fresh)
	if err != nil {
		exchange.End, exchange.Err = ExchangeNotSent, err
		return
	}
	exchange.ReusedConn, exchange.LocalAddr = conn.used, conn.LocalAddr().String()
	conn.used = true
	conn.SetDeadline(time.Now().Add(exchange.Deadline + answerSlack))
	if err := writeRequest(conn, &exchange.Request); err != nil {
		exchange.End, exchange.Err = ExchangeNotSent, err
		conn.Close()
		return
	}
	exchange.SentAt = time.Now()
	conn.SetDeadline(exchange.SentAt.Add(exchange.Deadline + answerSlack))
	if exchange.LeaveAfter > 0 {
		conn.SetReadDeadline(exchange.SentAt.Add(exchange.LeaveAfter))
	}
	if !exchange.readResponse(conn) {
		conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// connect returns a kept connection, or a new one.
func (c *Client) connect(fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if last := len(c.idle) - 1; last >= 0 && !fresh {
		conn := c.idle[last]
		c.idle = c.idle[:last]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// writeRequest writes a request, in parts if it says so.
func writeRequest(conn net.Conn, request *Request) error {
	text := request.encode()
	pieces := max(1, request.Pieces)
	for i := range pieces {
		if i > 0 {
			time.Sleep(request.Pause)
		}
		if _, err := io.WriteString(conn, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

// encode returns the request in the form of the protocol.
func (r *Request) encode() string {
	method := http.MethodPost
	if r.Effect == Safe {
		method = http.MethodGet
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n",
		method, r.TraceID, r.Class, r.Deadline.Milliseconds())
	if r.Tenant != "" {
		fmt.Fprintf(&text, "X-Customer: %s\r\n", r.Tenant)
	}
	if r.Effect == Keyed {
		fmt.Fprintf(&text, "Idempotency-Key: key-%s\r\n", r.TraceID)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", r.Body)
	}
	text.WriteString("\r\n")
	if method == http.MethodPost {
		text.WriteString(strings.Repeat("b", r.Body))
	}
	return text.String()
}

// readResponse reads the response and records the end. It reports whether the connection can be used again.
func (e *Exchange) readResponse(conn *clientConn) bool {
	if _, err := conn.reader.Peek(1); err != nil {
		e.End, e.Err = e.endOfSilence(err), err
		return false
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		e.End, e.Err = e.endOfPart(err), err
		return false
	}
	body, err := io.ReadAll(response.Body)
	e.Status = response.StatusCode
	if err != nil {
		e.End, e.Err = e.endOfPart(err), err
		return false
	}
	switch response.StatusCode {
	case http.StatusOK:
		e.End = ExchangeServed
		e.WrongBody = !BodyMatches(body, e.TraceID)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		e.End = ExchangeRejected
	default:
		e.End = ExchangeFailed
	}
	return !response.Close && conn.reader.Buffered() == 0
}

// endOfSilence returns how an exchange ended of whose response no byte came.
func (e *Exchange) endOfSilence(err error) ExchangeEnd {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return ExchangeClosed
	case e.LeaveAfter > 0:
		return ExchangeLeft
	}
	return ExchangeSilent
}

// endOfPart returns how an exchange ended of whose response only a part came.
func (e *Exchange) endOfPart(err error) ExchangeEnd {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return ExchangeCut
	}
	return ExchangeLeft // a response that does not end: the client gives up
}

// TraceID returns the identifier of a request by its number.
func TraceID(number int) string { return "t" + strconv.FormatInt(int64(number)+1<<40, 16) }
