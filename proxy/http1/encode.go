package http1

// This file encodes messages. It must never leave the length of a body open.

import (
	"cmp"
	"net/http"
	"strconv"
)

// AppendRequest appends a request as it is sent to a host, with the time in ns that the proxy will wait. The
// address is used as Host if the client named none.
func AppendRequest(b []byte, req Request, addr string, timeout int64) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1"...)
	b = appendField(b, Field{"Host", cmp.Or(req.Host, addr)})
	for _, f := range req.Fields {
		b = appendField(b, f)
	}
	if timeout > 0 {
		b = append(b, "\r\nRequest-Timeout: "...)
		b = appendSeconds(b, timeout)
	}
	if req.Piece == First {
		return appendFirst(b, req.Length, req.Body)
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, req.Body...)
}

// appendFirst ends the head of a message that comes in pieces and appends the first piece.
func appendFirst(b []byte, length int, body []byte) []byte {
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
func AppendResponse(b []byte, resp Response, http10 bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(resp.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(resp.Status)...)
	for _, f := range resp.Fields {
		b = appendField(b, f)
	}
	if resp.RetryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = appendSeconds(b, resp.RetryAfter)
	}
	if resp.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	switch {
	case resp.Piece == First && resp.Length < 0 && http10:
		b = append(b, "\r\n\r\n"...)
		return append(b, resp.Body...)
	case resp.Piece == First:
		return appendFirst(b, resp.Length, resp.Body)
	case resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified:
		return append(b, "\r\n\r\n"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(resp.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, resp.Body...)
}

func appendField(b []byte, f Field) []byte {
	b = append(b, "\r\n"...)
	b = append(b, f.Name...)
	b = append(b, ": "...)
	return append(b, f.Value...)
}

func appendSeconds(b []byte, ns int64) []byte {
	return strconv.AppendFloat(b, float64(ns)/nsPerSecond, 'f', 3, 64)
}
