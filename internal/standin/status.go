package standin

import (
	"io"
	"net/http"
)

// WriteStatus answers a request of HTTP/1.1 with any status and no body, also with one
// that net/http's server does not write, and ends the connection.
func WriteStatus(w http.ResponseWriter, status string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}
