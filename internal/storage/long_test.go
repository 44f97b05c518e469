package storage

import (
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/httphead"
	"topazpulley/internal/httphead/headtest"
)

// endlessServer answers each connection with a head and then bytes until it is closed.
func endlessServer(t *testing.T, head string, chunk []byte, total int) string {
	t.Helper()
	return headtest.Serve(t, func(connection net.Conn) { go sendEndless(connection, head, chunk, total) })
}

func sendEndless(connection net.Conn, head string, chunk []byte, total int) {
	defer func() { _ = connection.Close() }()
	_, _ = connection.Read(make([]byte, 4096))
	_, err := connection.Write([]byte(head))
	for sent := 0; err == nil && sent < total; sent += len(chunk) {
		_, err = connection.Write(chunk)
	}
}

// Guards against an answer of the platform that takes memory until the daemon has none left.
func TestEndlessAnswerIsNotReadToItsEnd(t *testing.T) {
	const total = 4 * maxRowsBytes
	piece := make([]byte, 1<<20)
	chunk := append(append([]byte(strconv.FormatInt(int64(len(piece)), 16)+"\r\n"), piece...), "\r\n"...)
	told := endlessServer(t, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 1000000000000\r\n\r\n", piece, total)
	chunked := endlessServer(t, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, total)
	for name, read := range map[string]func() error{
		"row, length":    func() error { _, err := NewHTTPClient("http://"+told).Get(t.Context(), "key"); return err },
		"row, chunked":   func() error { _, err := NewHTTPClient("http://"+chunked).Get(t.Context(), "key"); return err },
		"object, length": func() error { _, err := NewHTTPClient("http://"+told).GetObject(t.Context(), "name"); return err },
	} {
		var long *httphead.LongBodyError
		require.ErrorAs(t, read(), &long, name)
	}
}
