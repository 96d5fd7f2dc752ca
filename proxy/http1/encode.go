package http1

// This file encodes messages. It must never leave the length of a body open.

import (
	"cmp"
	"net/http"
	"strconv"
)

// AppendRequest appends a request as it is sent to a host, with the time in ns that the proxy will wait. The
// address is used as Host if the client named none.
func AppendCall(b []byte, c Call, addr string, wait int64) []byte {
	b = append(b, c.Method...)
	b = append(b, ' ')
	b = append(b, c.Target...)
	b = append(b, " HTTP/1.1"...)
	b = field(b, Field{"Host", cmp.Or(c.Host, addr)})
	for _, f := range c.Fields {
		b = field(b, f)
	}
	if wait > 0 {
		b = append(b, "\r\nRequest-Timeout: "...)
		b = appendSeconds(b, wait)
	}
	if c.Piece == First {
		return piece(b, c.Length, c.Body)
	}
	if len(c.Body) > 0 || c.Method != http.MethodGet {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(c.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, c.Body...)
}

// appendFirst ends the head of a message that comes in pieces and appends the first piece.
func piece(b []byte, length int, body []byte) []byte {
	if length < 0 {
		b = append(b, "\r\nTransfer-Encoding: chunked\r\n\r\n"...)
	} else {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n\r\n"...)
	}
	return AppendPiece(b, length < 0, body, false)
}

// AppendPiece appends a further piece of a body, as a chunk or plain.
func AppendPiece(b []byte, chunked bool, body []byte, last bool) []byte {
	switch {
	case !chunked:
		return append(b, body...)
	case len(body) > 0:
		b = strconv.AppendInt(b, int64(len(body)), 16)
		b = append(b, "\r\n"...)
		b = append(b, body...)
		b = append(b, "\r\n"...)
	}
	if last {
		b = append(b, "0\r\n\r\n"...)
	}
	return b
}

// AppendResponse appends a response as it is sent to a client. If its length is unknown, the end of the connection
// ends it for an HTTP/1.0 client.
func AppendAnswer(b []byte, a Answer, old bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(a.Status)...)
	for _, f := range a.Fields {
		b = field(b, f)
	}
	if a.RetryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = appendSeconds(b, a.RetryAfter)
	}
	if a.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	switch {
	case a.Piece == First && a.Length < 0 && old:
		b = append(b, "\r\n\r\n"...)
		return append(b, a.Body...)
	case a.Piece == First:
		return piece(b, a.Length, a.Body)
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
		return append(b, "\r\n\r\n"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(a.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, a.Body...)
}

func field(b []byte, f Field) []byte {
	b = append(b, "\r\n"...)
	b = append(b, f.Name...)
	b = append(b, ": "...)
	return append(b, f.Value...)
}

func appendSeconds(b []byte, ns int64) []byte {
	return strconv.AppendFloat(b, float64(ns)/nanos, 'f', 3, 64)
}
