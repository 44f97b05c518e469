package httphead

import "net"

// graceful is the value of SetLinger that restores the default close.
const graceful = -1

// ResetOnClose makes every close of a connection a reset, also that of the kernel when the process
// exits, until FinishOnClose is called. A body that ends with its connection needs it: a FIN says
// that the body is whole.
func ResetOnClose(connection net.Conn) { setLinger(connection, 0) }

// FinishOnClose makes the close of a connection send what is pending and a FIN.
func FinishOnClose(connection net.Conn) { setLinger(connection, graceful) }

func setLinger(connection net.Conn, seconds int) {
	if tcp, isTCP := Underlying(connection).(*net.TCPConn); isTCP {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(seconds)
	}
}

// wrapped is a connection over another one, such as TLS.
type wrapped interface{ NetConn() net.Conn }

// Underlying returns the innermost connection.
func Underlying(connection net.Conn) net.Conn {
	for {
		upper, isWrapped := connection.(wrapped)
		if !isWrapped {
			return connection
		}
		connection = upper.NetConn()
	}
}
